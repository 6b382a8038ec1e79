package review;

import java.util.ArrayList;
import java.util.List;

/**
 * For some seconds, a worker in trouble answers each item with bytes without end, until the caller closes. Later
 * answers are sound.
 *
 * Submissions of four tenants that are handed in and accepted afterwards must run completely.
 */
final class EndlessItem {
    private static final String[] TENANTS = {"huka270", "huka271", "huka272", "huka273"};
    private static final int ITEMS = 24;
    private static final int EVENTS = 60;
    private static final long TROUBLE_MILLIS = 5_500;
    private static final long PAUSE_MILLIS = 20_000;
    private static final long LATEST_MILLIS = 112_000;
    // An event that repeats itself; the ids of an answer would increase.
    private static final String GARBAGE = "id: 1\ndata: " + "x".repeat(1_000) + "\n\n";

    private EndlessItem() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, EndlessItem::play);
    }

    private static boolean play(Record record, boolean isTrouble) throws Exception {
        Fleet fleet = new Fleet(record, 3, 3);
        List<Worker> workers = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            String zone = Fleet.zone(number);
            workers.add(new Worker("i-" + number, Configuration.SERVICE, zone, 8, fleet.host(60 + number), fleet.store));
        }
        Configuration configuration = Configuration.standard();
        for (String tenant : TENANTS) configuration.tenant(tenant);
        fleet.publish(configuration.json());
        fleet.startNodes();
        Fleet.sleep(4_000);
        Worker troubled = workers.get(0);
        if (isTrouble) {
            troubled.garbage = GARBAGE;
            troubled.troubledUntilMillis = record.millis() + TROUBLE_MILLIS;
        }
        Submission first = new Submission(caller(record, TENANTS[0]), "/pule252/", ITEMS, EVENTS, 700);
        if (!first.submit(fleet.nodes)) throw new Fleet.Unplayable("first submission not accepted");
        Fleet.sleep(PAUSE_MILLIS);
        record.say("bytes sent without end: " + troubled.endlessBytes.get());
        if (isTrouble && troubled.endlessBytes.get() == 0) throw new Fleet.Unplayable("the troubled worker had no item");
        List<Submission> accepted = new ArrayList<>();
        for (String tenant : TENANTS) {
            Submission submission = new Submission(caller(record, tenant), "/pule252/", ITEMS, EVENTS, 700);
            if (submission.submit(fleet.nodes)) accepted.add(submission);
        }
        record.say(accepted.size() + " of " + TENANTS.length + " later submissions accepted");
        return new Finish(fleet, workers).missing(accepted, LATEST_MILLIS) > 0;
    }

    private static Caller caller(Record record, String tenant) {
        return new Caller(Configuration.HOST, "key-" + tenant, record);
    }
}
