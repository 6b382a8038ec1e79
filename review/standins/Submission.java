package review;

import java.util.List;

/** A batch submission of a client. */
final class Submission {
    final String id = Caller.newId();
    final Caller caller;
    final int items;
    private final StringBuilder body = new StringBuilder();

    private final String prefix;

    Submission(Caller caller, String prefix, int items, int events, int bodyBytes) {
        this.caller = caller;
        this.prefix = prefix;
        this.items = items;
        for (int number = 0; number < items; number++) {
            if (number > 0) body.append(',');
            body.append(Caller.item(Caller.newId(), prefix + "3/" + number, events, new byte[bodyBytes]));
        }
    }

    /** Returns whether it was accepted. */
    boolean submit(List<Node> nodes) {
        int status = caller.submit(nodes, id, prefix + id, body.toString());
        body.setLength(0);
        return status == 202;
    }

    /** Returns the number of results that {@code node} lists, or -1 if it does not answer with 200. */
    int listed(Node node) {
        return caller.listed(node, id);
    }
}
