/** Targets as this VM knows them: announcements, dissemination and clients. */
package org.clementinesail.server.targets;
