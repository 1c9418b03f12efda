package org.clementinesail.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.util.Optional;
import org.clementinesail.core.rules.RulesDelta;
import org.clementinesail.core.rules.RulesText;
import org.clementinesail.core.state.CallKey;
import org.clementinesail.core.state.CallOutcome;
import org.clementinesail.core.state.Command;
import org.clementinesail.core.state.CommandResult;
import org.clementinesail.core.state.DesiredDocument;
import org.clementinesail.core.state.SystemState;
import org.clementinesail.wire.proto.AcceptedFileImage;
import org.clementinesail.wire.proto.Answer;
import org.clementinesail.wire.proto.CallEndingImage;
import org.clementinesail.wire.proto.CallKeyImage;
import org.clementinesail.wire.proto.ClaimCall;
import org.clementinesail.wire.proto.ClaimHeld;
import org.clementinesail.wire.proto.ClaimImage;
import org.clementinesail.wire.proto.CommandImage;
import org.clementinesail.wire.proto.DesiredImage;
import org.clementinesail.wire.proto.FinishCall;
import org.clementinesail.wire.proto.ResultImage;
import org.clementinesail.wire.proto.RulesAccepted;
import org.clementinesail.wire.proto.RulesConflict;
import org.clementinesail.wire.proto.RulesDeltaImage;
import org.clementinesail.wire.proto.RulesHunk;
import org.clementinesail.wire.proto.RulesStale;
import org.clementinesail.wire.proto.StateImage;
import org.clementinesail.wire.proto.SubmitRules;

/** Converts commands, their results and the replicated state to and from protobuf. */
public final class StateCodec {
  private StateCodec() {}

  /**
   * Encodes a command for the log.
   *
   * @param command command of any kind
   */
  public static CommandImage encode(Command command) {
    CommandImage.Builder out = CommandImage.newBuilder();
    if (command instanceof Command.SubmitRules c) {
      out.setSubmit(SubmitRules.newBuilder().setDelta(encode(c.delta())).setOperator(c.operator()));
    } else if (command instanceof Command.ClaimCall c) {
      out.setClaim(
          ClaimCall.newBuilder()
              .setKey(encode(c.key()))
              .setBodyDigest(c.bodyDigest())
              .setRequestId(c.requestId())
              .setRunner(c.runner())
              .setTimeMillis(c.timeMillis()));
    } else if (command instanceof Command.FinishCall c) {
      out.setFinish(
          FinishCall.newBuilder()
              .setKey(encode(c.key()))
              .setRequestId(c.requestId())
              .setEnding(encode(c.outcome())));
    } else if (command instanceof Command.PutDesired c) {
      out.setDesired(encode(c.document()));
    }
    return out.build();
  }

  /**
   * Encodes a version of the desired state.
   *
   * @param document the document; the result shares its compressed bytes
   */
  public static DesiredImage encode(DesiredDocument document) {
    return DesiredImage.newBuilder()
        .setVersion(document.version())
        .setDocument(UnsafeByteOperations.unsafeWrap(document.compressed()))
        .build();
  }

  /**
   * Decodes a version of the desired state.
   *
   * @param in the encoded version
   */
  public static DesiredDocument decode(DesiredImage in) {
    return new DesiredDocument(in.getVersion(), in.getDocument().toByteArray());
  }

  /**
   * Decodes a command from the log.
   *
   * @param bytes the encoded command
   * @throws CodecException if the bytes are not a command of a kind that this version knows
   */
  public static Command decodeCommand(byte[] bytes) {
    try {
      return decode(CommandImage.parseFrom(bytes));
    } catch (InvalidProtocolBufferException e) {
      throw new CodecException("a command in the log is not a protobuf CommandImage", e);
    }
  }

  /**
   * Decodes a command.
   *
   * @param in the encoded command
   * @throws CodecException if this version does not know its kind
   */
  public static Command decode(CommandImage in) {
    return switch (in.getKindCase()) {
      case SUBMIT ->
          new Command.SubmitRules(decode(in.getSubmit().getDelta()), in.getSubmit().getOperator());
      case CLAIM -> {
        ClaimCall c = in.getClaim();
        yield new Command.ClaimCall(
            decode(c.getKey()),
            c.getBodyDigest(),
            c.getRequestId(),
            c.getRunner(),
            c.getTimeMillis());
      }
      case FINISH ->
          new Command.FinishCall(
              decode(in.getFinish().getKey()),
              in.getFinish().getRequestId(),
              decode(in.getFinish().getEnding()));
      case DESIRED -> new Command.PutDesired(decode(in.getDesired()));
      case KIND_NOT_SET -> throw new CodecException("command has no kind that this version knows");
    };
  }

  /**
   * Encodes the result of a command.
   *
   * @param result result of any kind
   */
  public static ResultImage encode(CommandResult result) {
    ResultImage.Builder out = ResultImage.newBuilder();
    if (result instanceof CommandResult.RulesAccepted r) {
      out.setAccepted(RulesAccepted.newBuilder().setNumber(r.number()).setDigest(r.sha256()));
    } else if (result instanceof CommandResult.RulesConflict r) {
      out.setConflict(
          RulesConflict.newBuilder()
              .setNumber(r.number())
              .setDigest(r.acceptedSha256())
              .setOperator(r.acceptedOperator()));
    } else if (result instanceof CommandResult.RulesStale r) {
      out.setStale(RulesStale.newBuilder().setNumber(r.number()).setLatest(r.latestNumber()));
    } else if (result instanceof CommandResult.RulesBaseOutdated r) {
      out.setBaseMoved(r.latest());
    } else if (result instanceof CommandResult.ClaimGranted) {
      out.setClaimGranted(true);
    } else if (result instanceof CommandResult.ClaimHeld r) {
      out.setClaimHeld(ClaimHeld.newBuilder().setRequestId(r.requestId()).setRunner(r.runner()));
    } else if (result instanceof CommandResult.ClaimEnded r) {
      out.setClaimEnded(encode(r.ending()));
    } else if (result instanceof CommandResult.ClaimMismatch) {
      out.setClaimMismatch(true);
    } else if (result instanceof CommandResult.FinishRecorded) {
      out.setFinishRecorded(true);
    } else if (result instanceof CommandResult.DesiredHeld r) {
      out.setDesiredHeld(r.version());
    } else {
      out.setFinishRefused(true);
    }
    return out.build();
  }

  /**
   * Decodes the result of a command.
   *
   * @param in the encoded result
   * @throws CodecException if this version does not know its kind
   */
  public static CommandResult decode(ResultImage in) {
    return switch (in.getKindCase()) {
      case ACCEPTED ->
          new CommandResult.RulesAccepted(
              in.getAccepted().getNumber(), in.getAccepted().getDigest());
      case CONFLICT ->
          new CommandResult.RulesConflict(
              in.getConflict().getNumber(),
              in.getConflict().getDigest(),
              in.getConflict().getOperator());
      case STALE ->
          new CommandResult.RulesStale(in.getStale().getNumber(), in.getStale().getLatest());
      case BASE_MOVED -> new CommandResult.RulesBaseOutdated(in.getBaseMoved());
      case CLAIM_GRANTED -> new CommandResult.ClaimGranted();
      case CLAIM_HELD ->
          new CommandResult.ClaimHeld(
              in.getClaimHeld().getRequestId(), in.getClaimHeld().getRunner());
      case CLAIM_ENDED -> new CommandResult.ClaimEnded(decode(in.getClaimEnded()));
      case CLAIM_MISMATCH -> new CommandResult.ClaimMismatch();
      case FINISH_RECORDED -> new CommandResult.FinishRecorded();
      case FINISH_REFUSED -> new CommandResult.FinishRefused();
      case DESIRED_HELD -> new CommandResult.DesiredHeld(in.getDesiredHeld());
      case KIND_NOT_SET ->
          throw new CodecException("command result has no kind that this version knows");
    };
  }

  /**
   * Encodes the state for a snapshot.
   *
   * @param contents rules, claims, clock and desired state
   */
  public static byte[] encode(SystemState.Contents contents) {
    StateImage.Builder out =
        StateImage.newBuilder()
            .setRulesNumber(contents.latestRules().number())
            .setRulesText(contents.latestRules().text())
            .setClockMillis(contents.clockMillis());
    contents.desiredDocument().ifPresent(document -> out.setDesired(encode(document)));
    for (SystemState.AcceptedRules file : contents.acceptedRules()) {
      out.addAccepted(
          AcceptedFileImage.newBuilder()
              .setNumber(file.number())
              .setDigest(file.sha256())
              .setOperator(file.operator()));
    }
    for (SystemState.Claim claim : contents.claims()) {
      out.addClaims(encode(claim));
    }
    return out.build().toByteArray();
  }

  /**
   * Decodes the state of a snapshot. An empty array is the state of a new cluster.
   *
   * @param bytes the encoded state
   * @throws CodecException if the bytes are not a state
   */
  public static SystemState decodeState(byte[] bytes) {
    try {
      StateImage in = StateImage.parseFrom(bytes);
      return SystemState.of(
          new SystemState.Contents(
              new RulesText(in.getRulesNumber(), in.getRulesText()),
              in.getAcceptedList().stream()
                  .map(
                      f ->
                          new SystemState.AcceptedRules(
                              f.getNumber(), f.getDigest(), f.getOperator()))
                  .toList(),
              in.getClaimsList().stream().map(StateCodec::decode).toList(),
              in.getClockMillis(),
              decodeHeld(in.getDesired())));
    } catch (InvalidProtocolBufferException e) {
      throw new CodecException("the state in a snapshot is not a protobuf StateImage", e);
    }
  }

  /** Decodes the version of a snapshot; builds before wrote one without bytes if there was none. */
  private static Optional<DesiredDocument> decodeHeld(DesiredImage in) {
    return in.getDocument().isEmpty() ? Optional.empty() : Optional.of(decode(in));
  }

  /**
   * Encodes a change of the rules.
   *
   * @param delta the changed lines, with the number of the version that they apply to
   */
  public static RulesDeltaImage encode(RulesDelta delta) {
    RulesDeltaImage.Builder out =
        RulesDeltaImage.newBuilder()
            .setBase(delta.base())
            .setNumber(delta.number())
            .setDigest(delta.digest());
    for (RulesDelta.Hunk hunk : delta.hunks()) {
      out.addHunks(
          RulesHunk.newBuilder()
              .setStart(hunk.start())
              .setRemoved(hunk.removed())
              .addAllAdded(hunk.added()));
    }
    return out.build();
  }

  /**
   * Decodes a change of the rules.
   *
   * @param in the encoded change
   */
  public static RulesDelta decode(RulesDeltaImage in) {
    return new RulesDelta(
        in.getBase(),
        in.getNumber(),
        in.getDigest(),
        in.getHunksList().stream()
            .map(
                h ->
                    new RulesDelta.Hunk(
                        h.getStart(), h.getRemoved(), h.getAddedList().stream().toList()))
            .toList());
  }

  private static ClaimImage encode(SystemState.Claim claim) {
    ClaimImage.Builder out =
        ClaimImage.newBuilder()
            .setKey(encode(claim.key()))
            .setBodyDigest(claim.bodyDigest())
            .setRequestId(claim.requestId())
            .setRunner(claim.runner())
            .setClaimedAtMillis(claim.claimedAtMillis());
    if (claim.outcome() != null) {
      out.setEnding(encode(claim.outcome()));
    }
    return out.build();
  }

  private static SystemState.Claim decode(ClaimImage in) {
    return new SystemState.Claim(
        decode(in.getKey()),
        in.getBodyDigest(),
        in.getRequestId(),
        in.getRunner(),
        in.getClaimedAtMillis(),
        in.hasEnding() ? decode(in.getEnding()) : null);
  }

  private static CallKeyImage encode(CallKey key) {
    return CallKeyImage.newBuilder().setWorkspace(key.workspace()).setKey(key.key()).build();
  }

  private static CallKey decode(CallKeyImage in) {
    return new CallKey(in.getWorkspace(), in.getKey());
  }

  private static CallEndingImage encode(CallOutcome outcome) {
    CallEndingImage.Builder out = CallEndingImage.newBuilder();
    if (outcome instanceof CallOutcome.Answered a) {
      out.setAnswer(
          Answer.newBuilder()
              .setStatus(a.status())
              .setContentType(a.contentType())
              .setBody(ByteString.copyFrom(a.body())));
    } else if (outcome instanceof CallOutcome.Unknown) {
      out.setUnknown(true);
    } else {
      out.setNotRun(true);
    }
    return out.build();
  }

  private static CallOutcome decode(CallEndingImage in) {
    return switch (in.getKindCase()) {
      case ANSWER ->
          new CallOutcome.Answered(
              in.getAnswer().getStatus(),
              in.getAnswer().getContentType(),
              in.getAnswer().getBody().toByteArray());
      case UNKNOWN -> new CallOutcome.Unknown();
      case NOT_RUN -> new CallOutcome.NotRun();
      case KIND_NOT_SET ->
          throw new CodecException("call outcome has no kind that this version knows");
    };
  }
}
