package review;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads single fields from the flat JSON texts that the stand-ins receive. */
final class Json {
    private Json() {}

    static String text(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : null;
    }

    static long number(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*(-?\\d+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    static List<String> texts(String json, String field) {
        List<String> found = new ArrayList<>();
        Matcher list = Pattern.compile("\"" + field + "\"\\s*:\\s*\\[([^\\]]*)\\]").matcher(json);
        if (!list.find()) return found;
        Matcher item = Pattern.compile("\"([^\"]*)\"").matcher(list.group(1));
        while (item.find()) found.add(item.group(1));
        return found;
    }
}
