package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The operator moves a batch route to another service, and the only worker of the old service is taken away afterwards.
 *
 * Items that were accepted before the move and haven't run yet must run at the new service.
 */
final class MovedRoute {
    private static final String OLD = "old11a";
    private static final String NEW = "new96b";
    private static final int NEW_WORKERS = 6;
    private static final int ITEMS = 40;
    private static final int EVENTS = 100;
    private static final long CONFIG_MILLIS = 2_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long LATEST_MILLIS = 112_000;

    private MovedRoute() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, MovedRoute::play);
    }

    private static Configuration configuration(String service) {
        return new Configuration().service(OLD).service(NEW).batchRoute("/pule252/", service).tenant("huka270");
    }

    private static boolean play(Record record, boolean isTrouble) throws Exception {
        Fleet fleet = new Fleet(record, 3, 3);
        Worker old = new Worker("i-old", OLD, Fleet.zone(0), 8, fleet.host(60), fleet.store);
        List<Worker> workers = new ArrayList<>(List.of(old));
        for (int number = 0; number < NEW_WORKERS; number++) {
            workers.add(
                new Worker("i-new" + number, NEW, Fleet.zone(number % 3), 8, fleet.host(70 + number), fleet.store));
        }
        fleet.publish(configuration(OLD).json());
        fleet.startNodes();
        Fleet.sleep(4_000);
        Submission submission = new Submission(
            new Caller(Configuration.HOST, "key-huka270", record), "/pule252/", ITEMS, EVENTS, 700);
        if (!submission.submit(fleet.nodes)) throw new Fleet.Unplayable("submission not accepted");
        Fleet.sleep(1_000);
        if (isTrouble) {
            fleet.publish(configuration(NEW).version(2).json());
            Fleet.sleep(CONFIG_MILLIS);
            old.drainAndLeave(DRAIN_MILLIS);
        }
        Fleet.sleep(DRAIN_MILLIS + 2_500);
        return new Finish(fleet, workers).missing(List.of(submission), LATEST_MILLIS) > 0;
    }
}
