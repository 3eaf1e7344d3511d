package org.dragonflygw.core.dispatch;

/**
 * One part of a prompt. Prompts that begin with the same parts can share the cached tokens of these parts.
 *
 * @param id id of the content, equal for equal content
 * @param tokens length in tokens
 */
public record PromptPart(long id, int tokens) {}
