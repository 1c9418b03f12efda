/** The rule file: its grammar, its error messages and the lookups that routing makes. */
package org.clementinesail.core.rules;
