package review;

import java.util.ArrayList;
import java.util.List;

/**
 * The only worker of a service is lost for good while items wait for it.
 *
 * A submission for another service, whose workers are idle, must run.
 */
final class StarvedService {
    private static final String LOST = "old11a";
    private static final String SOUND = "new96b";
    private static final int SOUND_WORKERS = 6;
    private static final int WAITING_SUBMISSIONS = 2;
    private static final int WAITING_ITEMS = 200;
    private static final int ITEMS = 24;
    private static final int EVENTS = 60;
    private static final long LATEST_MILLIS = 112_000;

    private StarvedService() {}

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, StarvedService::play);
    }

    private static boolean play(Record record, boolean isTrouble) throws Exception {
        Fleet fleet = new Fleet(record, 3, 3);
        Worker lost = new Worker("i-lost", LOST, Fleet.zone(0), 8, fleet.host(60), fleet.store);
        List<Worker> workers = new ArrayList<>();
        for (int number = 0; number < SOUND_WORKERS; number++) {
            workers.add(
                new Worker("i-" + number, SOUND, Fleet.zone(number % 3), 8, fleet.host(70 + number), fleet.store));
        }
        fleet.publish(new Configuration().service(LOST).service(SOUND).batchRoute("/lost/", LOST)
            .batchRoute("/sound/", SOUND).tenant("huka270").tenant("huka271").json());
        fleet.startNodes();
        Fleet.sleep(4_000);
        Caller other = new Caller(Configuration.HOST, "key-huka271", record);
        for (int number = 0; number < WAITING_SUBMISSIONS; number++) {
            Submission waiting = new Submission(other, "/lost/", WAITING_ITEMS, EVENTS, 700);
            if (!waiting.submit(fleet.nodes)) throw new Fleet.Unplayable("submission not accepted");
        }
        Fleet.sleep(2_000);
        if (isTrouble) lost.crash();
        Fleet.sleep(8_000);
        Caller caller = new Caller(Configuration.HOST, "key-huka270", record);
        Submission submission = new Submission(caller, "/sound/", ITEMS, EVENTS, 700);
        if (!submission.submit(fleet.nodes)) throw new Fleet.Unplayable("submission not accepted");
        return new Finish(fleet, workers).missing(List.of(submission), LATEST_MILLIS) > 0;
    }
}
