package reedspring.net;

import java.lang.reflect.Field;
import java.util.Hashtable;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The signal handlers of the process. The JDK starts a thread for each signal: a burst of signals takes the
 * memory of thousands of threads, and if the system can't create a thread, SIGTERM is lost. Here handlers run
 * on the JVM's signal dispatcher thread, which exists from the start; they must return at once.
 *
 * <p>The JDK has no API for that. The dispatcher looks handlers up in a table of {@code
 * jdk.internal.misc.Signal}, which is replaced by a table whose look-up runs the handler and returns null;
 * the program's manifest opens the package. If the replacement fails, the JDK's behaviour stays.
 */
final class ProcessSignals {
    private static final String JDK_SIGNAL_CLASS = "jdk.internal.misc.Signal";
    private static final String HANDLERS_FIELD = "handlers";

    private final Map<String, Runnable> handlers = new ConcurrentHashMap<>();

    /** A handler table that runs the handlers of this class on look-up, and holds all others. */
    private static final class DispatchingTable extends Hashtable<Object, Object> {
        private static final long serialVersionUID = 1L;
        private final transient Map<String, Runnable> ownHandlers;

        DispatchingTable(Map<?, ?> jdkHandlers, Map<String, Runnable> ownHandlers) {
            this.ownHandlers = ownHandlers;
            putAll(jdkHandlers);
        }

        @Override
        public Object get(Object signal) {
            Runnable handler = ownHandlers.get(signal.toString());
            if (handler == null) {
                return super.get(signal);
            }
            handler.run();
            return null;
        }
    }

    /**
     * Installs a handler for a signal.
     *
     * @param name without the prefix SIG
     * @return false if the signal was ignored when the process was started, which the JVM does not change
     */
    boolean handle(String name, Runnable handler) {
        handlers.put("SIG" + name, handler);
        return Signal.handle(new Signal(name), signal -> handler.run()) != SignalHandler.SIG_IGN;
    }

    /**
     * Runs the handlers on the dispatcher thread from now on.
     *
     * @return false if this JVM does not allow replacing the table
     */
    boolean dispatchWithoutThreads() {
        try {
            Field table = Class.forName(JDK_SIGNAL_CLASS).getDeclaredField(HANDLERS_FIELD);
            table.setAccessible(true);
            table.set(null, new DispatchingTable((Map<?, ?>) table.get(null), handlers));
            return true;
        } catch (ReflectiveOperationException | RuntimeException e) {
            return false;
        }
    }
}
