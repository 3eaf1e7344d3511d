package org.dragonflygw.wire.settings;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.thrift.TFieldIdEnum;
import org.apache.thrift.meta_data.FieldMetaData;
import org.apache.thrift.protocol.TType;

/**
 * One setting as the schema describes it.
 *
 * @param id field of the generated class
 * @param flag name of the flag without dashes
 * @param variable name of the environment variable
 * @param help help text
 * @param defaultValue value when neither flag nor variable is given; empty when the setting is required
 * @param integer whether the value is a whole number
 * @param min least value of a whole number
 * @param max greatest value of a whole number
 * @param choices allowed values of a text; empty for any
 */
public record SettingField(
        TFieldIdEnum id,
        String flag,
        String variable,
        String help,
        Optional<String> defaultValue,
        boolean integer,
        long min,
        long max,
        List<String> choices) {
    private static final String VARIABLE_PREFIX = "DRAGONFLYGW_";

    /** Builds the description of a field from the metadata that the Thrift compiler wrote. */
    static SettingField of(TFieldIdEnum id, FieldMetaData metaData, Optional<String> defaultValue) {
        Map<String, String> annotations = metaData.getFieldAnnotations();
        String oneOf = annotations.getOrDefault("oneOf", "");
        return new SettingField(
                id,
                separateWords(id.getFieldName(), '-').toLowerCase(Locale.ROOT),
                VARIABLE_PREFIX + separateWords(id.getFieldName(), '_').toUpperCase(Locale.ROOT),
                annotations.getOrDefault("help", ""),
                defaultValue,
                metaData.valueMetaData.type == TType.I32,
                Long.parseLong(annotations.getOrDefault("min", Integer.toString(Integer.MIN_VALUE))),
                Long.parseLong(annotations.getOrDefault("max", Integer.toString(Integer.MAX_VALUE))),
                oneOf.isEmpty() ? List.of() : List.of(oneOf.split(" ", -1)));
    }

    /** What is wrong with a value; empty when it can be used. */
    Optional<String> problem(String value) {
        if (value.isBlank()) {
            return Optional.of("must not be empty");
        }
        if (integer) {
            return integerProblem(value);
        }
        if (!choices.isEmpty() && !choices.contains(value)) {
            return Optional.of("must be one of " + String.join(", ", choices) + ", not '" + value + "'");
        }
        return Optional.empty();
    }

    private Optional<String> integerProblem(String value) {
        long number;
        try {
            number = Long.parseLong(value);
        } catch (NumberFormatException e) {
            return Optional.of("must be a whole number, not '" + value + "'");
        }
        if (number < min || number > max) {
            return Optional.of("must be from " + min + " to " + max + ", not " + value);
        }
        return Optional.empty();
    }

    private static String separateWords(String camelCase, char separator) {
        StringBuilder words = new StringBuilder();
        for (int i = 0; i < camelCase.length(); i++) {
            char c = camelCase.charAt(i);
            if (Character.isUpperCase(c)) {
                words.append(separator);
            }
            words.append(c);
        }
        return words.toString();
    }
}
