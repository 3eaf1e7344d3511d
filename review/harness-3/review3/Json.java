package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON, as far as the stand-ins need it. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        switch (c) {
            case '{':
                return map();
            case '[':
                return list();
            case '"':
                return string();
            default:
                return word();
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
            skip();
            String key = string();
            skip();
            at++;
            map.put(key, value());
            skip();
            if (text.charAt(at) == ',') {
                at++;
                skip();
            }
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
            list.add(value());
            skip();
            if (text.charAt(at) == ',') {
                at++;
                skip();
            }
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder s = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                s.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n':
                    s.append('\n');
                    break;
                case 't':
                    s.append('\t');
                    break;
                case 'u':
                    s.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default:
                    s.append(e);
            }
        }
        at++;
        return s.toString();
    }

    private Object word() {
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String w = text.substring(from, at);
        switch (w) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return w.matches("-?\\d{1,18}") ? (Object) Long.valueOf(w) : Double.valueOf(w);
        }
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            String comma = "{";
            for (Map.Entry<?, ?> e : ((Map<?, ?>) value).entrySet()) {
                out.append(comma);
                write(e.getKey(), out);
                out.append(':');
                write(e.getValue(), out);
                comma = ",";
            }
            out.append(((Map<?, ?>) value).isEmpty() ? "{}" : "}");
        } else if (value instanceof List) {
            String comma = "[";
            for (Object v : (List<?>) value) {
                out.append(comma);
                write(v, out);
                comma = ",";
            }
            out.append(((List<?>) value).isEmpty() ? "[]" : "]");
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    /** Returns a map of alternating keys and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }
}
