package reedspring.rig.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import reedspring.net.HollowFront;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.Program;
import reedspring.rig.fleet.Terms;
import reedspring.rig.fleet.Timetable;

/**
 * One process of the scale run beside its main: many hollow fronts, many hollow engines, or the real fronts
 * with their clients. It does what lines on standard input say, answers each with one line, and ends, with
 * all that it has started, when its standard input does: so nothing outlives a main that is killed.
 */
final class Host {
    /** A line is a word and its arguments; what it answers is on one line, too. */
    private interface Role {
        String does(String[] words) throws Exception;

        void ends();
    }

    private Host() {
    }

    public static void main(String[] args) throws IOException {
        PrintStream replies = System.out;
        System.setOut(System.err);
        Role role = switch (args[0]) {
            case "hollow" -> new HollowFronts();
            case "engines" -> new HollowEngines();
            default -> new RealFronts();
        };
        Runtime.getRuntime().addShutdownHook(new Thread(role::ends));
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String reply;
            try {
                reply = "ok " + role.does(line.split(" "));
            } catch (Exception | Error e) {
                e.printStackTrace();
                reply = "failed " + e;
            }
            replies.println(reply.replace('\n', ' '));
            replies.flush();
        }
        role.ends();
        Runtime.getRuntime().halt(0);
    }

    private static List<Integer> numbers(String text) {
        return Arrays.stream(text.split(",")).map(Integer::valueOf).toList();
    }

    private static <V> String pairs(Map<Integer, V> of, Asked<V> value) throws Exception {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<Integer, V> entry : of.entrySet()) {
            text.append(entry.getKey()).append('=').append(value.of(entry.getValue())).append(' ');
        }
        return text.toString().trim();
    }

    private interface Asked<V> {
        Object of(V value) throws Exception;
    }

    private static Path file(Path folder, int front, String which) {
        return folder.resolve("f" + front + "." + which + ".json");
    }

    // ---- hollow fronts

    private static final class HollowFronts implements Role {
        private final Map<Integer, HollowFront> fronts = new TreeMap<>();
        private final List<HollowFront.Loop> loops = new ArrayList<>();
        private final ExecutorService signals = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "signals");
            thread.setDaemon(true);
            return thread;
        });
        private Path folder;
        private double perSecond;
        private Timetable table;

        @Override
        public String does(String[] words) throws Exception {
            switch (words[0]) {
                case "start" -> {
                    folder = Path.of(words[1]);
                    table = Timetable.read(Path.of(words[5]));
                    perSecond = Double.parseDouble(words[4]);
                    for (int k = 0; k < Integer.parseInt(words[3]); k++) {
                        loops.add(new HollowFront.Loop());
                    }
                    numbers(words[2]).forEach(this::start);
                    return "";
                }
                case "reload" -> {
                    fronts.forEach((k, front) -> front.reload(file(folder, k, words[1]), signals));
                    return "";
                }
                case "kill" -> {
                    numbers(words[1]).forEach(k -> fronts.remove(k).close());
                    return "";
                }
                case "revive" -> {
                    numbers(words[1]).forEach(this::start);
                    return "";
                }
                case "force" -> {
                    int number = Integer.parseInt(words[1]);
                    return pairs(fronts, front -> front.inForceAt(number));
                }
                case "sent" -> {
                    return pairs(fronts, front -> front.lastSentTo(words[1]));
                }
                case "first" -> {
                    return pairs(fronts, front -> front.firstSentTo(words[1]));
                }
                case "digest" -> {
                    return pairs(fronts, HollowFront::digest);
                }
                case "logged" -> {
                    String text = words[1].replace('_', ' ');
                    return pairs(fronts, front -> front.logged(text));
                }
                case "queries" -> {
                    return pairs(fronts, front -> Arrays.stream(front.queries()).mapToObj(Long::toString)
                            .collect(Collectors.joining("/")));
                }
                case "cost" -> {
                    System.gc();
                    Runtime here = Runtime.getRuntime();
                    return loops.stream().mapToLong(HollowFront.Loop::cpuNanos).sum() + " "
                            + (here.totalMemory() - here.freeMemory());
                }
                default -> throw new IllegalArgumentException(words[0]);
            }
        }

        private void start(int k) {
            Function<SplittableRandom, HollowFront.Draw> draws = chance -> {
                int group = table.mix().group(chance);
                return new HollowFront.Draw(Terms.GROUPS[group], table.mix().workMs(group, chance),
                        table.mix().needMb(group, chance), Terms.leavesMs(table, group));
            };
            fronts.put(k, new HollowFront(loops.get(k % loops.size()), file(folder, k, "a"), perSecond,
                    draws));
        }

        @Override
        public void ends() {
            // They end with the process.
        }
    }

    // ---- hollow engines

    /** Each listens at an address of its own; the port is one for all. */
    private static final class HollowEngines implements Role {
        private static final Pattern WORK = Pattern.compile("work=([0-9.]+)");
        private final MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final SplittableRandom chance = new SplittableRandom(1);
        private final AtomicLong answered = new AtomicLong();
        /** By engine, then by front: the moment of the last query. */
        private final Map<Integer, Map<Integer, Long>> seen = new HashMap<>();

        @Override
        public String does(String[] words) throws Exception {
            if (words[0].equals("start")) {
                int net = Integer.parseInt(words[1]);
                int port = Integer.parseInt(words[2]);
                for (int k = Integer.parseInt(words[3]); k < Integer.parseInt(words[4]); k++) {
                    listen(k, new InetSocketAddress(address(net, k), port));
                }
                return "";
            } else if (words[0].equals("sent")) {
                int engine = Integer.parseInt(words[1]);
                return group.submit(() -> pairs(seen.getOrDefault(engine, Map.of()), at -> at)).get();
            }
            return Long.toString(answered.get());
        }

        private void listen(int engine, InetSocketAddress at) throws InterruptedException {
            new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel peer) {
                            peer.pipeline().addLast(new RedisDecoder(), new RedisBulkStringAggregator(),
                                    new RedisArrayAggregator(), new Answers(engine));
                        }
                    }).bind(at).sync();
        }

        private final class Answers extends SimpleChannelInboundHandler<ArrayRedisMessage> {
            private final int engine;

            private Answers(int engine) {
                this.engine = engine;
            }

            @Override
            protected void channelRead0(ChannelHandlerContext ctx, ArrayRedisMessage message) {
                List<String> words = new ArrayList<>();
                for (RedisMessage word : message.children()) {
                    words.add(((FullBulkStringRedisMessage) word).content()
                            .toString(StandardCharsets.ISO_8859_1));
                }
                String id = words.get(1);
                if (words.get(0).equals("alive")) {
                    answer(ctx, id, "well", "-", "");
                } else if (words.get(0).equals("fetch")) {
                    seen.computeIfAbsent(engine, k -> new HashMap<>())
                            .put(RealFronts.frontOf(id), System.nanoTime());
                    Matcher work = WORK.matcher(words.get(3));
                    double ms = work.find() ? Double.parseDouble(work.group(1)) : 1;
                    long takes = Math.max(1, Math.round(ms * Math.exp(0.2 * chance.nextGaussian())));
                    ctx.executor().schedule(() -> {
                        answered.incrementAndGet();
                        answer(ctx, id, "data", String.format(Locale.ROOT,
                                "sheets=1,toil=%.1f,room=10,rep=util:%.2f;x0:%.2f;queue:0", ms,
                                chance.nextDouble() / 2, chance.nextDouble() / 2), id + "\te\trow\n");
                    }, takes, TimeUnit.MILLISECONDS);
                }
            }

            private void answer(ChannelHandlerContext ctx, String id, String word, String fields,
                                String body) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(EngineStandIn.Command.text(id, word, fields, body),
                        StandardCharsets.ISO_8859_1));
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }

        @Override
        public void ends() {
            // They end with the process.
        }
    }

    /** Where an engine listens: of loopback's addresses one for each. */
    static String address(int net, int engine) {
        return "127." + net + "." + (engine >> 8 & 0xff) + "." + (engine & 0xff);
    }

    // ---- real fronts

    private static final class RealFronts implements Role {
        private static final int CLIENTS = 2;
        private final Map<Integer, Program> fronts = new TreeMap<>();
        private final Map<Integer, List<String>> logs = new TreeMap<>();
        private final AtomicLong asked = new AtomicLong();
        private final AtomicLong rows = new AtomicLong();
        private final AtomicLong refused = new AtomicLong();
        private final AtomicLong errors = new AtomicLong();
        private final AtomicLong lost = new AtomicLong();
        private Path folder;
        private double perSecond;
        private Timetable table;
        private volatile boolean asking;

        /** Traces of these clients begin with the front that they ask. */
        static int frontOf(String trace) {
            return Integer.parseInt(trace.substring(0, 4), 16);
        }

        @Override
        public String does(String[] words) throws Exception {
            switch (words[0]) {
                case "start" -> {
                    folder = Path.of(words[1]);
                    perSecond = Double.parseDouble(words[3]);
                    table = Timetable.read(Path.of(words[4]));
                    for (int k : numbers(words[2])) {
                        start(k);
                    }
                    for (Program front : List.copyOf(fronts.values())) {
                        front.ready();
                    }
                    return "";
                }
                case "ask" -> {
                    asking = true;
                    for (int k : fronts.keySet()) {
                        for (int c = 0; c < CLIENTS; c++) {
                            int which = c;
                            Thread thread = new Thread(() -> asks(k, which));
                            thread.setDaemon(true);
                            thread.start();
                        }
                    }
                    return "";
                }
                case "quiet" -> {
                    asking = false;
                    return "";
                }
                case "reload" -> {
                    for (Map.Entry<Integer, Program> front : fronts.entrySet()) {
                        front.getValue().reload(Files.readString(file(folder, front.getKey(), words[1])));
                    }
                    return "";
                }
                case "kill" -> {
                    numbers(words[1]).forEach(k -> fronts.remove(k).close());
                    return "";
                }
                case "revive" -> {
                    long from = System.nanoTime();
                    for (int k : numbers(words[1])) {
                        start(k);
                    }
                    for (int k : numbers(words[1])) {
                        fronts.get(k).ready();
                    }
                    return Long.toString(System.nanoTime() - from);
                }
                case "logged" -> {
                    String text = words[1].replace('_', ' ');
                    return pairs(fronts, front -> front.log.stream().filter(l -> l.contains(text)).count());
                }
                case "alive" -> {
                    return pairs(fronts, front -> front.process.isAlive());
                }
                default -> {
                    return asked + " " + rows + " " + refused + " " + errors + " " + lost;
                }
            }
        }

        private void start(int k) throws IOException {
            fronts.put(k, new Program(Files.readString(file(folder, k, "a"))));
        }

        private void asks(int front, int which) {
            SplittableRandom chance = new SplittableRandom(front * 31L + which);
            long number = which;
            Client client = null;
            while (asking) {
                try {
                    Thread.sleep((long) (-Math.log(1 - chance.nextDouble()) * 1_000 * CLIENTS / perSecond));
                    Program program = fronts.get(front);
                    if (program == null) {
                        continue;
                    }
                    if (client == null) {
                        client = program.client();
                        number = which;
                    }
                    number += CLIENTS;
                    int group = table.mix().group(chance);
                    double work = table.mix().workMs(group, chance);
                    String trace = String.format("%04x%012x", front, chance.nextLong() & 0xffff_ffff_ffffL);
                    Map<String, Object> fields = Client.fields(trace, Terms.leavesMs(table, group));
                    fields.put("weight", String.format(Locale.ROOT, "%.2f", work));
                    asked.incrementAndGet();
                    String statement = String.format(Locale.ROOT, "select work=%.2f from sales_%d.orders",
                            work, number % 9);
                    List<?> answer = client.send(Client.pack(List.of(0, (int) number, Terms.GROUPS[group],
                            List.of(fields, statement.getBytes(StandardCharsets.US_ASCII))))).read();
                    String text = Client.rows(answer);
                    (text == null ? "Shed".equals(Client.error(answer)) ? refused : errors
                            : text.startsWith(trace) ? rows : errors).incrementAndGet();
                } catch (IOException e) {
                    lost.incrementAndGet();
                    client = null;
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        @Override
        public void ends() {
            fronts.values().forEach(Program::close);
        }
    }
}
