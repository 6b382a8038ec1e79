package review;

import java.nio.file.Path;

/** Runs one case and turns its result into the exit code: 0 held, 1 broken, 2 couldn't run. */
final class Case {
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
            code = play.play(record, isTrouble) ? 1 : 0;
        } catch (Exception exception) {
            record.say("couldn't run: " + exception);
            code = 2;
        }
        record.say(code == 0 ? "HELD" : code == 1 ? "BROKEN" : "NOT RUN");
        System.exit(code);
    }
}
