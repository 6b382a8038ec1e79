package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Four tenants hand in six times as many submissions as usual for three seconds, so that items wait for some time.
 *
 * Nothing fails. The items must all run.
 */
final class Backlog {
    private static final String[] TENANTS = {"huka270", "huka271", "huka272", "huka273"};
    private static final int USUAL = 20;
    private static final int BURST_FACTOR = 6;
    private static final int ITEMS = 15;
    private static final int EVENTS = 10;
    private static final long BURST_MILLIS = 3_000;
    private static final long LATEST_MILLIS = 112_000;

    private Backlog() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, Backlog::play);
    }

    private static boolean play(Record record, boolean isTrouble) throws Exception {
        Fleet fleet = new Fleet(record, 3, 3);
        List<Worker> workers = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            String zone = Fleet.zone(number % 3);
            Worker worker =
                new Worker("i-" + number, Configuration.SERVICE, zone, 8, fleet.host(60 + number), fleet.store);
            worker.eventMillis = 5;
            workers.add(worker);
        }
        Configuration configuration = Configuration.standard();
        for (String tenant : TENANTS) configuration.tenant(tenant);
        fleet.publish(configuration.json());
        fleet.startNodes();
        Fleet.sleep(4_000);
        int count = isTrouble ? USUAL * BURST_FACTOR : USUAL;
        List<Submission> accepted = Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        long startMillis = record.millis();
        for (String tenant : TENANTS) {
            Caller caller = new Caller(Configuration.HOST, "key-" + tenant, record);
            for (int number = 0; number < count; number++) {
                long dueMillis = startMillis + BURST_MILLIS * number / count;
                threads.add(Http.start("submit", () -> {
                    Submission submission = new Submission(caller, "/pule252/", ITEMS, EVENTS, 700);
                    Fleet.sleep(Math.max(0, dueMillis - record.millis()));
                    if (submission.submit(fleet.nodes)) accepted.add(submission);
                }));
            }
        }
        for (Thread thread : threads) thread.join();
        record.say(accepted.size() + " submissions of " + ITEMS + " items accepted in "
            + (record.millis() - startMillis) + " ms");
        return new Finish(fleet, workers).missing(accepted, LATEST_MILLIS) > 0;
    }
}
