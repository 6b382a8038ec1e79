package review;

import java.nio.file.Path;

/**
 * Runs one case and turns its result into the exit code: 0 held, 2 couldn't run, 3 broken.
 *
 * The JVM itself exits with 1 when it can't start, so run.sh turns 3 into 1.
 */
final class Case {
    private static final int HELD = 0;
    private static final int NOT_RUN = 2;
    private static final int BROKEN = 3;

    interface Play {
        /** Returns whether the rule was broken. */
        boolean play(Record record, boolean isTrouble) throws Exception;
    }

    private Case() {}

    static void run(String[] arguments, Play play) throws Exception {
        Record record = new Record(Path.of(arguments[0]));
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        record.say("disruption: " + (isTrouble ? "yes" : "no"));
        int code;
        try {
            code = play.play(record, isTrouble) ? BROKEN : HELD;
        } catch (Exception exception) {
            record.say("couldn't run: " + exception);
            code = NOT_RUN;
        }
        record.say(code == HELD ? "HELD" : code == BROKEN ? "BROKEN" : "NOT RUN");
        System.exit(code);
    }
}
