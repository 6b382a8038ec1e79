package review;

import java.util.ArrayList;
import java.util.List;

/**
 * For some seconds, a worker in trouble answers each item that it gets with bytes without end, until the caller closes.
 * Later answers are sound.
 *
 * The items must run elsewhere, and so must the items of submissions that are handed in afterwards.
 */
final class EndlessItem {
    private static final String[] TENANTS = {"huka270", "huka271", "huka272", "huka273"};
    private static final int ITEMS = 24;
    private static final int EVENTS = 60;
    private static final long TROUBLE_MILLIS = 5_500;
    private static final long PAUSE_MILLIS = 20_000;
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;
    private static final long LATEST_MILLIS = 112_000;
    private static final String TEXT = "x".repeat(1_000) + "\n\n";
    // The ids of an answer would increase.
    private static final String REPEATED_EVENT = "id: 1\ndata: " + TEXT;

    private EndlessItem() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, EndlessItem::play);
    }

    private static boolean play(Record record, boolean isTrouble) throws Exception {
        Fleet fleet = new Fleet(record, 3, 3);
        List<Worker> workers = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            String zone = Fleet.zone(number);
            workers.add(
                new Worker("i-" + number, Configuration.SERVICE, zone, 8, fleet.host(60 + number), fleet.store));
        }
        Configuration configuration = Configuration.standard();
        for (String tenant : TENANTS) configuration.tenant(tenant);
        fleet.publish(configuration.json());
        fleet.startNodes();
        Fleet.sleep(4_000);
        Worker troubled = workers.get(0);
        if (isTrouble) {
            boolean isEvent = "event".equals(System.getenv("GARBAGE"));
            troubled.garbage = isEvent ? REPEATED_EVENT : TEXT;
            troubled.garbagePauseMillis = isEvent ? 0 : 1;
            troubled.troubledUntilMillis = record.millis() + TROUBLE_MILLIS;
        }
        Submission first = new Submission(caller(record, TENANTS[0]), "/pule252/", ITEMS, EVENTS, 700);
        if (!first.submit(fleet.nodes)) throw new Fleet.Unplayable("first submission not accepted");
        long submittedMillis = record.millis();
        Fleet.sleep(PAUSE_MILLIS);
        record.say("bytes sent without end: " + troubled.endlessBytes.get());
        if (isTrouble && troubled.endlessBytes.get() == 0) {
            throw new Fleet.Unplayable("the troubled worker had no item");
        }
        List<Submission> accepted = new ArrayList<>(List.of(first));
        for (String tenant : TENANTS) {
            Submission submission = new Submission(caller(record, tenant), "/pule252/", ITEMS, EVENTS, 700);
            if (submission.submit(fleet.nodes)) accepted.add(submission);
        }
        record.say(accepted.size() - 1 + " of " + TENANTS.length + " later submissions accepted");
        int missing = new Finish(fleet, workers).missing(accepted, LATEST_MILLIS);
        if (missing == 0) return false;
        Fleet.sleep(Math.max(0, submittedMillis + MAXIMUM_WAIT_MILLIS + 5_000 - record.millis()));
        record.say("after max_wait_s, the first submission has " + first.listed(fleet.nodes.get(0)) + " of " + ITEMS
            + " results; bytes sent without end: " + troubled.endlessBytes.get());
        return true;
    }

    private static Caller caller(Record record, String tenant) {
        return new Caller(Configuration.HOST, "key-" + tenant, record);
    }
}
