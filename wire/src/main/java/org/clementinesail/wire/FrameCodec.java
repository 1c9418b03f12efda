package org.clementinesail.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.clementinesail.wire.proto.Frame;

/** Encodes and decodes frames: a four-byte length in network order, then a protobuf message. */
final class FrameCodec {
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_UNAUTHENTICATED_BYTES = 4_096;
  private static final int MAX_FRAME_BYTES = 64 * 1_024 * 1_024;
  private static final String LENGTH_DECODER = "length";

  private FrameCodec() {}

  static void install(ChannelPipeline pipeline, TrafficCounters traffic) {
    pipeline.addLast(LENGTH_DECODER, lengthDecoder(MAX_UNAUTHENTICATED_BYTES));
    pipeline.addLast(new Decoder(traffic));
    pipeline.addLast(new Encoder(traffic));
  }

  /**
   * Raises the limit for received frames, once the other side has proved that it has the secret.
   */
  static void allowLargeFrames(ChannelPipeline pipeline) {
    pipeline.replace(LENGTH_DECODER, LENGTH_DECODER, lengthDecoder(MAX_FRAME_BYTES));
  }

  private static LengthFieldBasedFrameDecoder lengthDecoder(int maxFrameBytes) {
    return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  private static final class Decoder extends MessageToMessageDecoder<ByteBuf> {
    private final TrafficCounters traffic;

    Decoder(TrafficCounters traffic) {
      super(ByteBuf.class);
      this.traffic = traffic;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
        throws IOException {
      int bytes = in.readableBytes() + LENGTH_BYTES;
      try (ByteBufInputStream stream = new ByteBufInputStream(in)) {
        Frame frame = Frame.parseFrom(stream);
        traffic.countReceived(frame.getKindCase(), bytes);
        out.add(frame);
      } catch (InvalidProtocolBufferException e) {
        throw new CodecException("bytes from a peer are not a protobuf Frame", e);
      }
    }
  }

  private static final class Encoder extends MessageToByteEncoder<Frame> {
    private final TrafficCounters traffic;

    Encoder(TrafficCounters traffic) {
      super(Frame.class);
      this.traffic = traffic;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out)
        throws IOException {
      int size = frame.getSerializedSize();
      out.writeInt(size);
      try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
        frame.writeTo(stream);
      }
      traffic.countSent(frame.getKindCase(), size + LENGTH_BYTES);
    }
  }
}
