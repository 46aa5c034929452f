package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON. Objects are maps, arrays lists, numbers doubles or longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns an object with the given keys and values in turn. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        switch (c) {
            case '{': {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                skipSpace();
                while (text.charAt(at) != '}') {
                    String key = (String) value();
                    skipSpace();
                    at++;
                    map.put(key, value());
                    skipSpace();
                    if (text.charAt(at) == ',') at++;
                    skipSpace();
                }
                at++;
                return map;
            }
            case '[': {
                List<Object> list = new ArrayList<>();
                at++;
                skipSpace();
                while (text.charAt(at) != ']') {
                    list.add(value());
                    skipSpace();
                    if (text.charAt(at) == ',') at++;
                    skipSpace();
                }
                at++;
                return list;
            }
            case '"':
                return string();
            default:
                return literal();
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private Object literal() {
        int start = at;
        while (at < text.length() && "+-.eE".indexOf(text.charAt(at)) >= 0
            || at < text.length() && Character.isLetterOrDigit(text.charAt(at))) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                if (word.contains(".") || word.contains("e") || word.contains("E")) return Double.valueOf(word);
                return Long.valueOf(word);
        }
    }

    private void skipSpace() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }
}
