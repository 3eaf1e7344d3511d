package org.dragonflygw.wire.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Reads the settings of a router from flags and environment variables as the schema describes them. A flag goes before
 * a variable, a variable before the default. All settings are checked before any is used.
 */
public final class SettingsReader {
    private static final String HELP = "help";
    private static final String VERSION = "version";
    private static final int HELP_COLUMN = 28;

    private final List<SettingField> fields;

    public SettingsReader() {
        this.fields = schemaFields();
    }

    /** All settings in the order of the schema. */
    public List<SettingField> fields() {
        return fields;
    }

    /** Whether the arguments ask for the help text. */
    public static boolean asksForHelp(String... arguments) {
        return List.of(arguments).contains("--" + HELP);
    }

    /** Whether the arguments ask for the version. */
    public static boolean asksForVersion(String... arguments) {
        return List.of(arguments).contains("--" + VERSION);
    }

    /**
     * Reads and checks all settings.
     *
     * @param environment environment variables
     * @param arguments arguments of the command line
     * @throws SettingsException when at least one setting is wrong; names every wrong one
     */
    public RouterSettings read(Map<String, String> environment, String... arguments) {
        List<String> problems = new ArrayList<>();
        OptionSet options = parse(arguments, problems);
        RouterSettings settings = new RouterSettings();
        for (SettingField field : fields) {
            readField(field, options, environment, settings, problems);
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return settings;
    }

    /** The help text: one line for each setting with its variable, default and bounds. */
    public String help() {
        StringBuilder text = new StringBuilder("Usage: dragonflygw-router [--flag value]...\n\n");
        text.append("Each flag can be given as an environment variable instead; the flag goes first.\n\n");
        for (SettingField field : fields) {
            appendHelp(text, field);
        }
        text.append("  --help\n  --version\n");
        return text.toString();
    }

    private void appendHelp(StringBuilder text, SettingField field) {
        String flag = "  --" + field.flag();
        text.append(flag).append(" ".repeat(Math.max(2, HELP_COLUMN - flag.length())));
        text.append(field.help()).append(" [").append(field.variable());
        text.append(field.defaultValue().map(value -> ", default " + value).orElse(", required"));
        if (field.integer()) {
            text.append(", ").append(field.min()).append(" to ").append(field.max());
        }
        text.append("]\n");
    }

    private OptionSet parse(String[] arguments, List<String> problems) {
        OptionParser parser = new OptionParser(false);
        parser.accepts(HELP);
        parser.accepts(VERSION);
        for (SettingField field : fields) {
            parser.accepts(field.flag()).withRequiredArg();
        }
        parser.allowsUnrecognizedOptions();
        try {
            OptionSet options = parser.parse(arguments);
            addUnknownSettings(options.nonOptionArguments(), problems);
            return options;
        } catch (OptionException e) {
            problems.add(e.getMessage());
            return new OptionParser(false).parse();
        }
    }

    /** Names unknown flags, and loose words only when no unknown flag could own them. */
    private static void addUnknownSettings(List<?> others, List<String> problems) {
        List<String> words = others.stream().map(Object::toString).toList();
        boolean flags = words.stream().anyMatch(word -> word.startsWith("-"));
        words.stream()
                .filter(word -> !flags || word.startsWith("-"))
                .forEach(word -> problems.add(word + ": is not a known setting"));
    }

    private static void readField(
            SettingField field,
            OptionSet options,
            Map<String, String> environment,
            RouterSettings settings,
            List<String> problems) {
        String source = "--" + field.flag();
        Optional<String> value = Optional.empty();
        if (options.has(field.flag())) {
            List<?> given = options.valuesOf(field.flag());
            if (given.size() > 1) {
                problems.add(source + ": given " + given.size() + " times");
                return;
            }
            value = Optional.of(given.get(0).toString());
        } else if (environment.containsKey(field.variable())) {
            source = field.variable();
            value = Optional.of(environment.get(field.variable()));
        } else if (field.defaultValue().isPresent()) {
            value = field.defaultValue();
        }
        if (value.isEmpty()) {
            problems.add(source + ": is required (or " + field.variable() + ")");
            return;
        }
        Optional<String> problem = field.problem(value.get());
        if (problem.isPresent()) {
            problems.add(source + ": " + problem.get());
            return;
        }
        set(settings, field, value.get());
    }

    private static void set(RouterSettings settings, SettingField field, String value) {
        RouterSettings._Fields id = (RouterSettings._Fields) field.id();
        if (field.integer()) {
            settings.setFieldValue(id, Integer.valueOf(value));
        } else {
            settings.setFieldValue(id, value);
        }
    }

    private static List<SettingField> schemaFields() {
        List<SettingField> fields = new ArrayList<>();
        for (RouterSettings._Fields id : RouterSettings._Fields.values()) {
            fields.add(SettingField.of(id, RouterSettings.metaDataMap.get(id), defaultValue(id)));
        }
        return List.copyOf(fields);
    }

    /** The default in the schema. A new object holds null, or 0 for a whole number, where the schema has none. */
    private static Optional<String> defaultValue(RouterSettings._Fields id) {
        Object value = new RouterSettings().getFieldValue(id);
        if (value == null || value.equals(0)) {
            return Optional.empty();
        }
        return Optional.of(value.toString());
    }
}
