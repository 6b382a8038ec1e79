package review;

import java.util.List;

/**
 * Checks the rule LOST for items: when {@code finish_s} is over, an item of an open submission is not listed, though in
 * the last 5 s no worker had an unlisted item and the workers were under half full, and in the last 3 s no item was
 * finished. No worker has any item in these 5 s, which is stricter than the rule needs.
 */
final class Finish {
    static final long FINISH_MILLIS = 18_000;
    private static final long CALM_MILLIS = 5_000;

    private final Fleet fleet;
    private final List<Worker> workers;

    Finish(Fleet fleet, List<Worker> workers) {
        this.fleet = fleet;
        this.workers = workers;
    }

    private int started() {
        return workers.stream().mapToInt(worker -> worker.started.get()).sum();
    }

    private int running() {
        return workers.stream().mapToInt(worker -> worker.running.get()).sum();
    }

    /**
     * Waits until the workers have had nothing to do for 5 s, after at least {@code finish_s} from now and until the
     * given time of the record at most. Returns the number of items that no node lists.
     */
    int missing(List<Submission> submissions, long latestMillis) {
        long earliestMillis = fleet.record.millis() + FINISH_MILLIS;
        long idleSinceMillis = fleet.record.millis();
        int startedBefore = started();
        while (fleet.record.millis() < earliestMillis || fleet.record.millis() - idleSinceMillis < CALM_MILLIS) {
            if (fleet.record.millis() > latestMillis) throw new Fleet.Unplayable("the workers are still at work");
            Fleet.sleep(20);
            if (running() > 0 || started() > startedBefore) {
                startedBefore = started();
                idleSinceMillis = fleet.record.millis();
            }
        }
        fleet.record.say("no worker has had an item for "
            + (fleet.record.millis() - idleSinceMillis) + " ms; runs begun in all: " + started());
        int missing = 0;
        for (Submission submission : submissions) {
            int listed = 0;
            for (Node node : fleet.nodes) listed = Math.max(listed, submission.listed(node));
            fleet.record.line("submission " + submission.id + ": " + listed + " of " + submission.items + " listed");
            missing += submission.items - listed;
        }
        fleet.record.say(missing + " items of " + submissions.size() + " submissions are not listed by any node");
        return missing;
    }
}
