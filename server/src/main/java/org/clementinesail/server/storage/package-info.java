/** Stores a replica's log records and snapshots in a locked data folder. */
package org.clementinesail.server.storage;
