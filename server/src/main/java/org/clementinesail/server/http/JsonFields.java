package org.clementinesail.server.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/** Reads typed fields of a JSON object. Error messages name the field and what is allowed. */
final class JsonFields {
  private final ObjectNode object;

  JsonFields(ObjectNode object) {
    this.object = object;
  }

  String text(String name, int maxChars) throws BadRequestException {
    JsonNode value = object.get(name);
    if (value == null || !value.isTextual() || value.asText().isEmpty()) {
      throw new BadRequestException("'" + name + "' must be a text that is not empty");
    }
    if (value.asText().length() > maxChars) {
      throw new BadRequestException("'" + name + "' has more than " + maxChars + " characters");
    }
    return value.asText();
  }

  long integer(String name, long min, long max) throws BadRequestException {
    JsonNode value = object.get(name);
    if (value == null
        || !value.isIntegralNumber()
        || value.asLong() < min
        || value.asLong() > max) {
      throw new BadRequestException(
          "'" + name + "' must be a whole number from " + min + " to " + max);
    }
    return value.asLong();
  }

  long integer(String name, long min, long max, long defaultValue) throws BadRequestException {
    return object.has(name) ? integer(name, min, max) : defaultValue;
  }

  double number(String name, double min, double max) throws BadRequestException {
    JsonNode value = object.get(name);
    if (value == null
        || !value.isNumber()
        || !(value.asDouble() >= min && value.asDouble() <= max)) {
      throw new BadRequestException("'" + name + "' must be a number from " + min + " to " + max);
    }
    return value.asDouble();
  }

  /** Returns the value of a field, or false if the field is absent. */
  boolean flag(String name) throws BadRequestException {
    JsonNode value = object.get(name);
    if (value != null && !value.isBoolean()) {
      throw new BadRequestException("'" + name + "' must be true or false");
    }
    return value != null && value.asBoolean();
  }

  Optional<JsonFields> object(String name) throws BadRequestException {
    JsonNode value = object.get(name);
    if (value == null) {
      return Optional.empty();
    }
    if (value instanceof ObjectNode inner) {
      return Optional.of(new JsonFields(inner));
    }
    throw new BadRequestException("'" + name + "' must be an object");
  }

  boolean has(String name) {
    return object.has(name);
  }

  /** Returns the value of a field, or a missing node (never null) if the field is absent. */
  JsonNode node(String name) {
    return object.path(name);
  }
}
