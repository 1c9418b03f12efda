package org.clementinesail.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.List;
import org.clementinesail.core.replication.LogEntry;
import org.clementinesail.core.replication.ReplicaConfig;
import org.clementinesail.core.replication.ReplicaId;
import org.clementinesail.core.replication.ReplicaMessage;
import org.clementinesail.core.replication.Snapshot;
import org.clementinesail.wire.proto.Append;
import org.clementinesail.wire.proto.AppendReply;
import org.clementinesail.wire.proto.Ballot;
import org.clementinesail.wire.proto.Config;
import org.clementinesail.wire.proto.Entry;
import org.clementinesail.wire.proto.Hello;
import org.clementinesail.wire.proto.InstallSnapshot;
import org.clementinesail.wire.proto.Introduce;
import org.clementinesail.wire.proto.Replica;
import org.clementinesail.wire.proto.ReplicaEnvelope;
import org.clementinesail.wire.proto.SnapshotImage;

/** Converts the messages, log entries and snapshots of replicas to and from protobuf. */
public final class ReplicaCodec {
  private ReplicaCodec() {}

  /**
   * Encodes a message.
   *
   * @param message message to another replica
   */
  public static ReplicaEnvelope encode(ReplicaMessage message) {
    ReplicaEnvelope.Builder out =
        ReplicaEnvelope.newBuilder()
            .setCluster(message.clusterId())
            .setFrom(encode(message.from()))
            .setTo(encode(message.to()))
            .setTerm(message.term());
    encodeBody(message.body(), out);
    return out.build();
  }

  private static void encodeBody(ReplicaMessage.Body body, ReplicaEnvelope.Builder out) {
    if (body instanceof ReplicaMessage.Hello b) {
      out.setHello(Hello.newBuilder().setBlank(b.blank()));
    } else if (body instanceof ReplicaMessage.Leave) {
      out.setHello(Hello.newBuilder().setLeaving(true));
    } else if (body instanceof ReplicaMessage.LeaveConfirmed) {
      out.setHello(Hello.newBuilder().setLeaveConfirmed(true));
    } else if (body instanceof ReplicaMessage.InitialConfig b) {
      out.setGenesis(encode(b.config()));
    } else if (body instanceof ReplicaMessage.PreVote b) {
      out.setPreVote(ballot(b.lastIndex(), b.lastTerm(), false));
    } else if (body instanceof ReplicaMessage.PreVoteReply b) {
      out.setPreVoteReply(b.granted());
    } else if (body instanceof ReplicaMessage.Vote b) {
      out.setVote(ballot(b.lastIndex(), b.lastTerm(), b.transfer()));
    } else if (body instanceof ReplicaMessage.VoteReply b) {
      out.setVoteReply(b.granted());
    } else if (body instanceof ReplicaMessage.Append b) {
      out.setAppend(encode(b));
    } else if (body instanceof ReplicaMessage.AppendReply b) {
      out.setAppendReply(
          AppendReply.newBuilder().setSuccess(b.success()).setMatch(b.match()).setRound(b.round()));
    } else if (body instanceof ReplicaMessage.InstallSnapshot b) {
      out.setInstall(
          InstallSnapshot.newBuilder().setSnapshot(encode(b.snapshot())).setRound(b.round()));
    } else if (body instanceof ReplicaMessage.JoinRequest b) {
      out.setIntroduce(Introduce.newBuilder().setJoiner(encode(b.joiner())).setBlank(b.blank()));
    } else {
      out.setTakeOver(true);
    }
  }

  /**
   * Decodes a message.
   *
   * @param in the encoded message
   * @throws CodecException if it has no body of a kind that this version knows
   */
  public static ReplicaMessage decode(ReplicaEnvelope in) {
    return new ReplicaMessage(
        in.getCluster(), decode(in.getFrom()), decode(in.getTo()), in.getTerm(), decodeBody(in));
  }

  private static ReplicaMessage.Body decodeBody(ReplicaEnvelope in) {
    return switch (in.getBodyCase()) {
      case HELLO -> decode(in.getHello());
      case GENESIS -> new ReplicaMessage.InitialConfig(decode(in.getGenesis()));
      case PRE_VOTE ->
          new ReplicaMessage.PreVote(in.getPreVote().getLastIndex(), in.getPreVote().getLastTerm());
      case PRE_VOTE_REPLY -> new ReplicaMessage.PreVoteReply(in.getPreVoteReply());
      case VOTE ->
          new ReplicaMessage.Vote(
              in.getVote().getLastIndex(), in.getVote().getLastTerm(), in.getVote().getTransfer());
      case VOTE_REPLY -> new ReplicaMessage.VoteReply(in.getVoteReply());
      case APPEND -> decode(in.getAppend());
      case APPEND_REPLY ->
          new ReplicaMessage.AppendReply(
              in.getAppendReply().getSuccess(),
              in.getAppendReply().getMatch(),
              in.getAppendReply().getRound());
      case INSTALL ->
          new ReplicaMessage.InstallSnapshot(
              decode(in.getInstall().getSnapshot()), in.getInstall().getRound());
      case TAKE_OVER -> new ReplicaMessage.TakeOver();
      case INTRODUCE ->
          new ReplicaMessage.JoinRequest(
              decode(in.getIntroduce().getJoiner()), in.getIntroduce().getBlank());
      case BODY_NOT_SET ->
          throw new CodecException("replica message has no body of a kind that this version knows");
    };
  }

  /** Decodes a Hello, or what builds before this one read as the Hello of a replica with state. */
  private static ReplicaMessage.Body decode(Hello in) {
    if (in.getLeaving()) {
      return new ReplicaMessage.Leave();
    }
    return in.getLeaveConfirmed()
        ? new ReplicaMessage.LeaveConfirmed()
        : new ReplicaMessage.Hello(in.getBlank());
  }

  /**
   * Encodes a log entry.
   *
   * @param entry the entry; the result shares the bytes of its command
   */
  public static Entry encode(LogEntry entry) {
    Entry.Builder out = Entry.newBuilder().setIndex(entry.index()).setTerm(entry.term());
    if (entry.payload() instanceof LogEntry.Command command) {
      out.setCommand(UnsafeByteOperations.unsafeWrap(command.bytes()));
    } else if (entry.payload() instanceof LogEntry.Reconfigure change) {
      out.setConfig(encode(change.config()));
    } else {
      out.setNoOp(true);
    }
    return out.build();
  }

  /**
   * Decodes a log entry.
   *
   * @param in the encoded entry
   * @throws CodecException if it has no payload of a kind that this version knows
   */
  public static LogEntry decode(Entry in) {
    LogEntry.Payload payload =
        switch (in.getPayloadCase()) {
          case NO_OP -> new LogEntry.NoOp();
          case CONFIG -> new LogEntry.Reconfigure(decode(in.getConfig()));
          case COMMAND -> new LogEntry.Command(in.getCommand().toByteArray());
          case PAYLOAD_NOT_SET ->
              throw new CodecException(
                  "log entry has no payload of a kind that this version knows");
        };
    return new LogEntry(in.getIndex(), in.getTerm(), payload);
  }

  /**
   * Encodes a snapshot.
   *
   * @param snapshot the snapshot, whose state is copied
   */
  public static SnapshotImage encode(Snapshot snapshot) {
    return SnapshotImage.newBuilder()
        .setIndex(snapshot.index())
        .setTerm(snapshot.term())
        .setConfig(encode(snapshot.config()))
        .setState(ByteString.copyFrom(snapshot.state()))
        .build();
  }

  /**
   * Decodes a snapshot.
   *
   * @param in the encoded snapshot
   */
  public static Snapshot decode(SnapshotImage in) {
    return new Snapshot(
        in.getIndex(), in.getTerm(), decode(in.getConfig()), in.getState().toByteArray());
  }

  /**
   * Encodes a replica's identity.
   *
   * @param id name of the VM and identity of its disk
   */
  public static Replica encode(ReplicaId id) {
    return Replica.newBuilder().setVm(id.vm()).setDisk(id.diskId()).build();
  }

  /**
   * Decodes a replica's identity.
   *
   * @param in the encoded identity
   */
  public static ReplicaId decode(Replica in) {
    return new ReplicaId(in.getVm(), in.getDisk());
  }

  private static Config encode(ReplicaConfig config) {
    Config.Builder out = Config.newBuilder();
    config.voters().forEach(id -> out.addVoters(encode(id)));
    config.learners().forEach(id -> out.addLearners(encode(id)));
    return out.build();
  }

  private static ReplicaConfig decode(Config in) {
    return new ReplicaConfig(
        in.getVotersList().stream().map(ReplicaCodec::decode).toList(),
        in.getLearnersList().stream().map(ReplicaCodec::decode).toList());
  }

  private static Ballot ballot(long lastIndex, long lastTerm, boolean transfer) {
    return Ballot.newBuilder()
        .setLastIndex(lastIndex)
        .setLastTerm(lastTerm)
        .setTransfer(transfer)
        .build();
  }

  private static Append encode(ReplicaMessage.Append append) {
    Append.Builder out =
        Append.newBuilder()
            .setPrevIndex(append.prevIndex())
            .setPrevTerm(append.prevTerm())
            .setCommit(append.commit())
            .setRound(append.round());
    append.entries().forEach(entry -> out.addEntries(encode(entry)));
    return out.build();
  }

  private static ReplicaMessage.Append decode(Append in) {
    List<LogEntry> entries = in.getEntriesList().stream().map(ReplicaCodec::decode).toList();
    return new ReplicaMessage.Append(
        in.getPrevIndex(), in.getPrevTerm(), entries, in.getCommit(), in.getRound());
  }
}
