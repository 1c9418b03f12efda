package org.clementinesail.wire;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import org.clementinesail.core.crashes.CrashRecord;
import org.clementinesail.wire.proto.CrashImage;
import org.clementinesail.wire.proto.Frame;
import org.clementinesail.wire.proto.PartCrashImage;
import org.clementinesail.wire.proto.PartCrashList;

/**
 * Converts records of crashes to and from protobuf. Points in time are sent as ages, as in {@link
 * FleetCodec}.
 */
public final class CrashCodec {
  private CrashCodec() {}

  /**
   * Encodes records as one frame.
   *
   * @param records records of parts
   * @param now current monotonic time in nanoseconds
   */
  public static Frame encode(Collection<CrashRecord> records, long now) {
    PartCrashList.Builder list = PartCrashList.newBuilder();
    records.forEach(record -> list.addParts(encode(record, now)));
    return Frame.newBuilder().setPartCrashes(list).build();
  }

  private static PartCrashImage encode(CrashRecord record, long now) {
    PartCrashImage.Builder out = PartCrashImage.newBuilder().setKey(record.key());
    for (CrashRecord.Crash crash : record.crashes()) {
      out.addCrashes(
          CrashImage.newBuilder()
              .setTarget(crash.target())
              .setSentAgeMillis(FleetCodec.ageMillis(crash.sentAt(), now))
              .setCrashAgeMillis(FleetCodec.ageMillis(crash.crashedAt(), now)));
    }
    record
        .answeredAt()
        .ifPresent(at -> out.setAnswered(true).setAnsweredAgeMillis(FleetCodec.ageMillis(at, now)));
    return out.build();
  }

  /**
   * Decodes records.
   *
   * @param list the encoded records
   * @param now current monotonic time in nanoseconds
   */
  public static List<CrashRecord> decode(PartCrashList list, long now) {
    return list.getPartsList().stream().map(image -> decode(image, now)).toList();
  }

  private static CrashRecord decode(PartCrashImage in, long now) {
    List<CrashRecord.Crash> crashes =
        in.getCrashesList().stream()
            .map(
                crash ->
                    new CrashRecord.Crash(
                        crash.getTarget(),
                        FleetCodec.timeFromAge(crash.getSentAgeMillis(), now),
                        FleetCodec.timeFromAge(crash.getCrashAgeMillis(), now)))
            .toList();
    OptionalLong answeredAt =
        in.getAnswered()
            ? OptionalLong.of(FleetCodec.timeFromAge(in.getAnsweredAgeMillis(), now))
            : OptionalLong.empty();
    return new CrashRecord(in.getKey(), crashes, answeredAt);
  }
}
