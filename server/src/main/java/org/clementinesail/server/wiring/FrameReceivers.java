package org.clementinesail.server.wiring;

import org.clementinesail.server.control.ControlService;
import org.clementinesail.server.control.PeerRequests;
import org.clementinesail.server.control.ReplicaDriver;
import org.clementinesail.server.control.RulesSynchronizer;
import org.clementinesail.server.requests.CrashTracker;
import org.clementinesail.server.targets.TargetGossip;
import org.clementinesail.server.targets.TargetRegistry;
import org.jspecify.annotations.Nullable;

/**
 * Components that handle the frames from other VMs.
 *
 * @param replica receives replication messages; null on a VM that holds no replica
 * @param control answers requests
 * @param requests receives responses to this VM's requests
 * @param rules receives hints about newly accepted rules
 * @param targets regroups the targets after a change of the rules
 * @param gossip receives facts and digests about targets
 * @param crashes receives crash marks, and the turns in which other VMs run suspected requests
 */
record FrameReceivers(
    @Nullable ReplicaDriver replica,
    ControlService control,
    PeerRequests requests,
    RulesSynchronizer rules,
    TargetRegistry targets,
    TargetGossip gossip,
    CrashTracker crashes) {}
