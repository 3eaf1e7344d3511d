package org.dragonflygw.core.dispatch;

/**
 * One part of a prompt. Prompts that begin with the same parts share their cached tokens.
 *
 * @param id identity of the part's content
 * @param tokens its length
 */
public record PromptPart(long id, int tokens) {}
