package reedspring.net;

import java.lang.reflect.Field;
import java.util.Hashtable;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The signals that the process heeds. The JDK starts a thread for each signal that comes: signals in series
 * take memory for thousands of threads, and where the system gives no more threads, SIGTERM is never heard.
 * So handlers run on the JVM's signal dispatcher, a thread that stands from the start; they must return at
 * once.
 *
 * <p>There is no interface for that. The dispatcher looks handlers up in a table of {@code
 * jdk.internal.misc.Signal}, which is replaced by one whose look-up runs the handler and finds none; the
 * program's manifest opens the package. Where that fails, the JDK's way stays.
 */
final class ProcessSignals {
    private static final String OF_THE_JDK = "jdk.internal.misc.Signal";
    private static final String TABLE = "handlers";

    private final Map<String, Runnable> handlers = new ConcurrentHashMap<>();

    /** A table of handlers that runs those of this process at their look-up, and holds the others. */
    private static final class Dispatched extends Hashtable<Object, Object> {
        private static final long serialVersionUID = 1L;
        private final transient Map<String, Runnable> direct;

        Dispatched(Map<?, ?> others, Map<String, Runnable> direct) {
            this.direct = direct;
            putAll(others);
        }

        @Override
        public Object get(Object signal) {
            Runnable handler = direct.get(signal.toString());
            if (handler == null) {
                return super.get(signal);
            }
            handler.run();
            return null;
        }
    }

    /**
     * Has a signal run the handler.
     *
     * @param name without SIG
     * @return false if what started the process has it ignored, which the JVM leaves so
     */
    boolean handle(String name, Runnable handler) {
        handlers.put("SIG" + name, handler);
        return Signal.handle(new Signal(name), signal -> handler.run()) != SignalHandler.SIG_IGN;
    }

    /** From now on no signal takes a new thread; false if this JVM does not let that be done. */
    boolean dispatchWithoutThreads() {
        try {
            Field table = Class.forName(OF_THE_JDK).getDeclaredField(TABLE);
            table.setAccessible(true);
            table.set(null, new Dispatched((Map<?, ?>) table.get(null), handlers));
            return true;
        } catch (ReflectiveOperationException | RuntimeException e) {
            return false;
        }
    }
}
