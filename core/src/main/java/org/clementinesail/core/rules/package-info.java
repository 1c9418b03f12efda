/** The rule file: its grammar, its errors and the queries that routing asks of it. */
package org.clementinesail.core.rules;
