package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into maps, lists, strings, doubles and booleans, and quotes strings. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') quoted.append('\\').append(c);
            else if (c < ' ') quoted.append(String.format("\\u%04x", (int) c));
            else quoted.append(c);
        }
        return quoted.append('"').toString();
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(position))) position++;
        return text.charAt(position);
    }

    private Object value() {
        switch (next()) {
            case '{': {
                Map<String, Object> map = new LinkedHashMap<>();
                position++;
                while (next() != '}') {
                    if (text.charAt(position) == ',') position++;
                    next();
                    String key = string();
                    next();
                    position++;
                    map.put(key, value());
                }
                position++;
                return map;
            }
            case '[': {
                List<Object> list = new ArrayList<>();
                position++;
                while (next() != ']') {
                    if (text.charAt(position) == ',') position++;
                    list.add(value());
                }
                position++;
                return list;
            }
            case '"':
                return string();
            default: {
                int start = position;
                while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) position++;
                String word = text.substring(start, position);
                if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
                return word.equals("null") ? null : Double.valueOf(word);
            }
        }
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n': result.append('\n'); break;
                case 't': result.append('\t'); break;
                case 'r': result.append('\r'); break;
                case 'b': result.append('\b'); break;
                case 'f': result.append('\f'); break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                    break;
                default: result.append(escaped);
            }
        }
        position++;
        return result.toString();
    }
}
