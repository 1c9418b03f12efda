import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ProtocolFamily;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sun.nio.ch.EPollSelectorProvider;

/** Opens connections from the address of the VM in its settings, which all VMs share otherwise. */
public final class VmAddressProvider extends EPollSelectorProvider {
  private final InetSocketAddress source = new InetSocketAddress(address(), 0);

  private static String address() {
    try {
      String settings = Files.readString(Path.of(System.getenv("CLEMENTINESAIL_SETTINGS")));
      Matcher matcher = Pattern.compile("\"ip\": \"([0-9.]+)\"").matcher(settings);
      if (!matcher.find()) {
        throw new IllegalStateException("settings without an address");
      }
      return matcher.group(1);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public SocketChannel openSocketChannel() throws IOException {
    return super.openSocketChannel().bind(source);
  }

  @Override
  public SocketChannel openSocketChannel(ProtocolFamily family) throws IOException {
    return super.openSocketChannel(family).bind(source);
  }
}
