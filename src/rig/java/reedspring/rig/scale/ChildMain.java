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
import java.util.concurrent.Future;
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
import reedspring.rig.fleet.FleetSettings;
import reedspring.rig.fleet.Timetable;

/**
 * Main class of a child process of the scale run, which holds many {@link HollowFront}s, many stand-in
 * engines, or the real fronts with their clients. It executes one command per line of standard input and
 * replies with one line each. At the end of its standard input it exits and stops all that it has started, so
 * that no process outlives a main process that is killed.
 */
final class ChildMain {
    /** Clients of each real front; each has at most one query open. */
    static final int CLIENTS_PER_FRONT = 2;

    /** Executes a command (a word and its arguments) and returns the reply, which is one line. */
    private interface Role {
        String execute(String[] words) throws Exception;

        void stop();
    }

    private ChildMain() {
    }

    public static void main(String[] args) throws IOException {
        PrintStream replies = System.out;
        System.setOut(System.err);
        Role role = switch (args[0]) {
            case "hollow" -> new HollowFronts();
            case "engines" -> new StandInEngines();
            default -> new RealFronts();
        };
        Runtime.getRuntime().addShutdownHook(new Thread(role::stop));
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String reply;
            try {
                reply = "ok " + role.execute(line.split(" "));
            } catch (Exception | Error e) {
                e.printStackTrace();
                reply = "failed " + e;
            }
            replies.println(reply.replace('\n', ' '));
            replies.flush();
        }
        role.stop();
        Runtime.getRuntime().halt(0);
    }

    private static List<Integer> parseNumbers(String text) {
        return Arrays.stream(text.split(",")).map(Integer::valueOf).toList();
    }

    private static <V> String formatPairs(Map<Integer, V> valuesByFront, Lookup<V> lookup) throws Exception {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<Integer, V> entry : valuesByFront.entrySet()) {
            text.append(entry.getKey()).append('=').append(lookup.apply(entry.getValue())).append(' ');
        }
        return text.toString().trim();
    }

    private interface Lookup<V> {
        Object apply(V value) throws Exception;
    }

    private static Path configurationFile(Path directory, int front, String suffix) {
        return directory.resolve("f" + front + "." + suffix + ".json");
    }

    // ---- hollow fronts

    private static final class HollowFronts implements Role {
        private final Map<Integer, HollowFront> fronts = new TreeMap<>();
        private final List<HollowFront.Loop> loops = new ArrayList<>();
        private final ExecutorService reloadExecutor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "signals");
            thread.setDaemon(true);
            return thread;
        });
        private Path directory;
        private double queriesPerSecond;
        private Timetable timetable;

        @Override
        public String execute(String[] words) throws Exception {
            switch (words[0]) {
                case "start" -> {
                    directory = Path.of(words[1]);
                    timetable = Timetable.read(Path.of(words[5]));
                    queriesPerSecond = Double.parseDouble(words[4]);
                    for (int k = 0; k < Integer.parseInt(words[3]); k++) {
                        loops.add(new HollowFront.Loop());
                    }
                    parseNumbers(words[2]).forEach(this::start);
                    return "";
                }
                case "reload" -> {
                    fronts.forEach((k, front) -> front.reload(configurationFile(directory, k, words[1]),
                            reloadExecutor));
                    return "";
                }
                case "kill" -> {
                    parseNumbers(words[1]).forEach(k -> fronts.remove(k).close());
                    return "";
                }
                case "revive" -> {
                    parseNumbers(words[1]).forEach(this::start);
                    return "";
                }
                case "force" -> {
                    int eventNumber = Integer.parseInt(words[1]);
                    return formatPairs(fronts, front -> front.effectiveAtNanos(eventNumber));
                }
                case "sent" -> {
                    return formatPairs(fronts, front -> front.lastSentToNanos(words[1]));
                }
                case "first" -> {
                    return formatPairs(fronts, front -> front.firstSentToNanos(words[1]));
                }
                case "digest" -> {
                    return formatPairs(fronts, HollowFront::digest);
                }
                case "logged" -> {
                    String text = words[1].replace('_', ' ');
                    return formatPairs(fronts, front -> front.countLogged(text));
                }
                case "queries" -> {
                    return formatPairs(fronts, front -> Arrays.stream(front.queryCounts())
                            .mapToObj(Long::toString).collect(Collectors.joining("/")));
                }
                case "cost" -> {
                    System.gc();
                    Runtime runtime = Runtime.getRuntime();
                    return loops.stream().mapToLong(HollowFront.Loop::cpuNanos).sum() + " "
                            + (runtime.totalMemory() - runtime.freeMemory());
                }
                default -> throw new IllegalArgumentException(words[0]);
            }
        }

        private void start(int front) {
            Function<SplittableRandom, HollowFront.GeneratedQuery> queryGenerator = random -> {
                int group = timetable.mix().group(random);
                return new HollowFront.GeneratedQuery(FleetSettings.GROUPS[group],
                        timetable.mix().workMs(group, random), timetable.mix().needMb(group, random),
                        FleetSettings.patienceMs(timetable, group));
            };
            fronts.put(front, new HollowFront(loops.get(front % loops.size()),
                    configurationFile(directory, front, "a"), queriesPerSecond, queryGenerator));
        }

        @Override
        public void stop() {
            // The event loop ends with the process.
        }
    }

    // ---- stand-in engines

    /** Stand-in engines; each listens at its own loopback address, all at the same port. */
    private static final class StandInEngines implements Role {
        private static final Pattern WORK_MS_PATTERN = Pattern.compile("work=([0-9.]+)");
        private final MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final SplittableRandom random = new SplittableRandom(1);
        private final AtomicLong answeredQueries = new AtomicLong();
        /** Time of the last query, by engine, then by front. */
        private final Map<Integer, Map<Integer, Long>> lastQueryNanos = new HashMap<>();

        @Override
        public String execute(String[] words) throws Exception {
            if (words[0].equals("start")) {
                int secondOctet = Integer.parseInt(words[1]);
                int port = Integer.parseInt(words[2]);
                for (int k = Integer.parseInt(words[3]); k < Integer.parseInt(words[4]); k++) {
                    listen(k, new InetSocketAddress(engineAddress(secondOctet, k), port));
                }
                return "";
            } else if (words[0].equals("sent")) {
                int engine = Integer.parseInt(words[1]);
                return group.submit(() -> formatPairs(lastQueryNanos.getOrDefault(engine, Map.of()),
                        nanos -> nanos)).get();
            }
            return Long.toString(answeredQueries.get());
        }

        private void listen(int engine, InetSocketAddress address) throws InterruptedException {
            new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel peer) {
                            peer.pipeline().addLast(new RedisDecoder(), new RedisBulkStringAggregator(),
                                    new RedisArrayAggregator(), new EngineHandler(engine));
                        }
                    }).bind(address).sync();
        }

        private final class EngineHandler extends SimpleChannelInboundHandler<ArrayRedisMessage> {
            private final int engine;

            private EngineHandler(int engine) {
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
                    lastQueryNanos.computeIfAbsent(engine, k -> new HashMap<>())
                            .put(RealFronts.frontOfTrace(id), System.nanoTime());
                    Matcher workMatch = WORK_MS_PATTERN.matcher(words.get(3));
                    double workMs = workMatch.find() ? Double.parseDouble(workMatch.group(1)) : 1;
                    long runMs = Math.max(1, Math.round(workMs * Math.exp(0.2 * random.nextGaussian())));
                    ctx.executor().schedule(() -> {
                        answeredQueries.incrementAndGet();
                        answer(ctx, id, "data", String.format(Locale.ROOT,
                                "sheets=1,toil=%.1f,room=10,rep=util:%.2f;x0:%.2f;queue:0", workMs,
                                random.nextDouble() / 2, random.nextDouble() / 2), id + "\te\trow\n");
                    }, runMs, TimeUnit.MILLISECONDS);
                }
            }

            private void answer(ChannelHandlerContext ctx, String id, String command, String fields,
                                String body) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(
                        EngineStandIn.Command.encodeAnswer(id, command, fields, body),
                        StandardCharsets.ISO_8859_1));
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }

        @Override
        public void stop() {
            // The event loop ends with the process.
        }
    }

    /** The loopback address at which an engine listens; unique for each engine of a run. */
    static String engineAddress(int secondOctet, int engine) {
        return "127." + secondOctet + "." + (engine >> 8 & 0xff) + "." + (engine & 0xff);
    }

    // ---- real fronts

    private static final class RealFronts implements Role {
        private final Map<Integer, Program> fronts = new TreeMap<>();
        private final ExecutorService reloadExecutor = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "signals");
            thread.setDaemon(true);
            return thread;
        });
        private final AtomicLong sentRequests = new AtomicLong();
        private final AtomicLong rowAnswers = new AtomicLong();
        private final AtomicLong refusals = new AtomicLong();
        private final AtomicLong errorAnswers = new AtomicLong();
        private final AtomicLong lostAnswers = new AtomicLong();
        private final AtomicLong wrongAnswers = new AtomicLong();
        private Path directory;
        private double queriesPerSecond;
        private Timetable timetable;
        private volatile boolean clientsRunning;

        /** The front in the first four hex digits of a trace of these clients. */
        static int frontOfTrace(String trace) {
            return Integer.parseInt(trace.substring(0, 4), 16);
        }

        @Override
        public String execute(String[] words) throws Exception {
            switch (words[0]) {
                case "start" -> {
                    directory = Path.of(words[1]);
                    queriesPerSecond = Double.parseDouble(words[3]);
                    timetable = Timetable.read(Path.of(words[4]));
                    for (int k : parseNumbers(words[2])) {
                        start(k);
                    }
                    for (Program front : List.copyOf(fronts.values())) {
                        front.awaitReady();
                    }
                    return "";
                }
                case "ask" -> {
                    clientsRunning = true;
                    for (int k : fronts.keySet()) {
                        for (int client = 0; client < CLIENTS_PER_FRONT; client++) {
                            int clientIndex = client;
                            Thread thread = new Thread(() -> runClient(k, clientIndex));
                            thread.setDaemon(true);
                            thread.start();
                        }
                    }
                    return "";
                }
                case "quiet" -> {
                    clientsRunning = false;
                    return "";
                }
                case "reload" -> {
                    // Each signal starts a process; sent one after another they would take seconds.
                    List<Future<?>> reloads = new ArrayList<>();
                    fronts.forEach((k, front) -> reloads.add(reloadExecutor.submit(() -> {
                        front.reload(Files.readString(configurationFile(directory, k, words[1])));
                        return null;
                    })));
                    for (Future<?> reload : reloads) {
                        reload.get();
                    }
                    return "";
                }
                case "kill" -> {
                    parseNumbers(words[1]).forEach(k -> fronts.remove(k).close());
                    return "";
                }
                case "revive" -> {
                    long startNanos = System.nanoTime();
                    for (int k : parseNumbers(words[1])) {
                        start(k);
                    }
                    for (int k : parseNumbers(words[1])) {
                        fronts.get(k).awaitReady();
                    }
                    return Long.toString(System.nanoTime() - startNanos);
                }
                case "logged" -> {
                    String text = words[1].replace('_', ' ');
                    return formatPairs(fronts, front -> front.log.stream().filter(l -> l.contains(text))
                            .count());
                }
                case "alive" -> {
                    return formatPairs(fronts, front -> front.process.isAlive());
                }
                default -> {
                    return sentRequests + " " + rowAnswers + " " + refusals + " " + errorAnswers + " "
                            + lostAnswers + " " + wrongAnswers;
                }
            }
        }

        private void start(int front) throws IOException {
            fronts.put(front, new Program(Files.readString(configurationFile(directory, front, "a"))));
        }

        private void runClient(int front, int clientIndex) {
            SplittableRandom random = new SplittableRandom(front * 31L + clientIndex);
            long requestId = clientIndex;
            Client client = null;
            boolean requestOpen = false;
            while (clientsRunning) {
                try {
                    Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 * CLIENTS_PER_FRONT
                            / queriesPerSecond));
                    Program program = fronts.get(front);
                    if (program == null) {
                        continue;
                    }
                    if (client == null) {
                        client = program.connectClient();
                        requestId = clientIndex;
                    }
                    requestId += CLIENTS_PER_FRONT;
                    int group = timetable.mix().group(random);
                    double workMs = timetable.mix().workMs(group, random);
                    String trace = String.format("%04x%012x", front, random.nextLong() & 0xffff_ffff_ffffL);
                    Map<String, Object> fields = Client.fields(trace,
                            FleetSettings.patienceMs(timetable, group));
                    fields.put("weight", String.format(Locale.ROOT, "%.2f", workMs));
                    sentRequests.incrementAndGet();
                    requestOpen = true;
                    String statement = String.format(Locale.ROOT, "select work=%.2f from sales_%d.orders",
                            workMs, requestId % 9);
                    List<?> answer = client.send(Client.pack(List.of(0, (int) requestId,
                            FleetSettings.GROUPS[group],
                            List.of(fields, statement.getBytes(StandardCharsets.US_ASCII))))).read();
                    String text = Client.rows(answer);
                    (text == null ? "Shed".equals(Client.error(answer)) ? refusals : errorAnswers
                            : text.equals(trace + "\te\trow\n") ? rowAnswers : wrongAnswers)
                            .incrementAndGet();
                    requestOpen = false;
                } catch (IOException e) {
                    lostAnswers.addAndGet(requestOpen ? 1 : 0);
                    requestOpen = false;
                    client = null;
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        @Override
        public void stop() {
            fronts.values().forEach(Program::close);
        }
    }
}
