/** Decisions on responses: what a target's head means, and what may follow in a response. */
package org.clementinesail.core.responses;
