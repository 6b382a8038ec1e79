package review;

import java.util.ArrayList;
import java.util.List;

/**
 * A tenant hands in submissions within the limits of the configuration, reads all results, and then all processes are
 * killed and start again a second later.
 *
 * What was accepted and read before must be readable after the recovery.
 */
final class LargeSubmissions {
    private static final int SUBMISSIONS = 15;
    private static final int ITEMS = 200;
    private static final int EVENTS = 10;
    private static final int BODY_BYTES = 14_000;
    private static final long PAUSE_MILLIS = 500;
    private static final long DOWN_MILLIS = 1_000;
    private static final long RECOVER_MILLIS = 12_000;
    private static final long READ_MILLIS = 20_000;

    private LargeSubmissions() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, LargeSubmissions::play);
    }

    private static boolean play(Record record, boolean isTrouble) throws Exception {
        Fleet fleet = new Fleet(record, 3, 3);
        for (int number = 0; number < 6; number++) {
            String zone = Fleet.zone(number % 3);
            Worker worker =
                new Worker("i-" + number, Configuration.SERVICE, zone, 8, fleet.host(60 + number), fleet.store);
            worker.eventMillis = 5;
        }
        fleet.publish(Configuration.standard().tenant("huka270").json());
        fleet.startNodes();
        Fleet.sleep(4_000);
        Caller caller = new Caller(Configuration.HOST, "key-huka270", record);
        List<Submission> accepted = new ArrayList<>();
        for (int number = 0; number < SUBMISSIONS; number++) {
            Submission submission = new Submission(caller, "/pule252/", ITEMS, EVENTS, BODY_BYTES);
            if (submission.submit(fleet.nodes)) accepted.add(submission);
            Fleet.sleep(PAUSE_MILLIS);
        }
        if (accepted.size() < SUBMISSIONS) throw new Fleet.Unplayable(accepted.size() + " submissions accepted");
        long untilMillis = record.millis() + 60_000;
        for (Submission submission : accepted) {
            while (submission.listed(fleet.nodes.get(0)) < ITEMS) {
                if (record.millis() > untilMillis) throw new Fleet.Unplayable("not complete before the disruption");
                Fleet.sleep(300);
            }
        }
        record.say(accepted.size() + " submissions accepted, all results read");
        if (isTrouble) {
            fleet.nodes.forEach(Node::kill);
            record.line("all processes killed");
            Fleet.sleep(DOWN_MILLIS);
            fleet.nodes.forEach(Node::start);
        }
        Fleet.sleep(RECOVER_MILLIS);
        return unreadable(fleet, accepted) > 0;
    }

    // Each submission is read again after each failure, at all nodes in turn.
    private static int unreadable(Fleet fleet, List<Submission> accepted) {
        List<Submission> left = new ArrayList<>(accepted);
        long untilMillis = fleet.record.millis() + READ_MILLIS;
        for (int round = 0; !left.isEmpty() && fleet.record.millis() < untilMillis; round++) {
            Node node = fleet.nodes.get(round % fleet.nodes.size());
            left.removeIf(submission -> submission.listed(node) == ITEMS);
            Fleet.sleep(500);
        }
        for (Node node : fleet.nodes) fleet.record.say(node.name + " ready: " + node.isReady());
        fleet.record.say(left.size() + " of " + accepted.size() + " submissions can't be read at any node");
        return left.size();
    }
}
