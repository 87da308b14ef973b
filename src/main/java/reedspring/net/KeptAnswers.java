package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;
import reedspring.settings.StandingOrders.SpoolOrders;
import reedspring.spool.AnswerId;
import reedspring.spool.Handle;
import reedspring.spool.Handles;
import reedspring.spool.Spool;
import reedspring.spool.Step;
import reedspring.spool.Terms;
import reedspring.spool.Word;
import reedspring.spool.store.FileDisk;
import reedspring.spool.store.Keeper;
import reedspring.spool.store.Store;

/**
 * Answers that are kept on disk: carries what engines and clients say to the spool, and what it asks for to
 * them and to the threads behind the loop. Like all round the loop it runs there alone.
 */
final class KeptAnswers implements Keeper.Listener {
    private static final String UNKNOWN = "no such handle";

    private final Front front;
    private final Terms terms;
    private final Spool spool;
    private final Keeper keeper;
    private final Handles handles;
    private final Map<Id.Query, Submission> begun = new HashMap<>();
    private final Map<AnswerId, Submission> filling = new HashMap<>();
    private final Map<Long, Reader> readers = new HashMap<>();
    /** A word that is told while another is being dealt with waits for its turn. */
    private final ArrayDeque<Told> words = new ArrayDeque<>();
    private boolean telling;
    private ByteBuffer coming;
    private long calls;

    /** A word, with the page's text where it is about one. */
    private record Told(Word word, ByteBuffer text) {
    }

    /** A call for a page. */
    private record Reader(ClientConnection client, long messageId, Handle handle, int page) {
    }

    /** Takes the folder; what lies there is found behind the loop, and nothing is kept before that. */
    KeptAnswers(Front front, EventLoop loop, String name, SpoolOrders orders) throws IOException {
        this.front = front;
        this.terms = orders.terms();
        this.handles = new Handles(name, orders.keys());
        SecureRandom secret = new SecureRandom();
        this.spool = new Spool(terms, secret::nextLong);
        this.keeper = new Keeper(new Store(new FileDisk(orders.folder(), true), name, terms.pageBytes()),
                loop,
                this, orders.group());
        keeper.start();
    }

    /** Ends the threads once what is queued is written; not on the loop. */
    boolean close(long ms) throws InterruptedException {
        return keeper.close(ms);
    }

    void tick() {
        tell(new Word.Tick());
    }

    private void tell(Word word) {
        tell(word, null);
    }

    private void tell(Word word, ByteBuffer text) {
        words.add(new Told(word, text));
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Told next = words.poll(); next != null; next = words.poll()) {
                coming = next.text();
                spool.on(front.clock().now(), next.word(), this::step);
            }
        } finally {
            coming = null;
            telling = false;
        }
    }

    // ---- engines

    /** The engine has announced its pages and handed over the first. */
    void begin(Submission s) {
        OpenQuery q = s.query;
        begun.put(q.id, s);
        tell(new Word.Began(q.id, q.tenant, q.repeatable, s.sheets));
    }

    void came(Submission s, int page, ByteBuf text) {
        if (s.kept == null) {
            return;
        }
        // Its buffer is the loop's and may be used again; the copy is the writer's.
        ByteBuffer copy = ByteBuffer.allocate(text.readableBytes());
        text.getBytes(text.readerIndex(), copy);
        copy.flip();
        tell(new Word.PageCame(s.kept, page, copy.remaining()), copy);
    }

    /** The submission has ended, kept or not. */
    void over(Submission s) {
        begun.remove(s.query.id, s);
        if (s.kept != null && filling.remove(s.kept) != null) {
            tell(new Word.QueryOver(s.kept));
        }
    }

    // ---- clients

    void ask(ClientConnection client, long messageId, Map<String, String> fields) {
        Handle handle = handle(fields);
        int page = -1;
        try {
            page = Integer.parseInt(fields.getOrDefault("sheet", ""));
        } catch (NumberFormatException e) {
            // no page has that number
        }
        if (handle == null) {
            client.readError(messageId, UNKNOWN);
            return;
        }
        long call = ++calls;
        readers.put(call, new Reader(client, messageId, handle, page));
        tell(new Word.Asked(call, handle, page));
    }

    void release(ClientConnection client, long messageId, Map<String, String> fields) {
        Handle handle = handle(fields);
        if (handle == null) {
            client.error(messageId, UNKNOWN);
            return;
        }
        tell(new Word.Released(handle));
        client.released(messageId);
    }

    private Handle handle(Map<String, String> fields) {
        String text = fields.get("handle");
        String tenant = fields.get("customer");
        return text == null || tenant == null ? null : handles.read(text, tenant);
    }

    // ---- what the spool asks for

    private void step(Step step) {
        if (step instanceof Step.Take take) {
            Submission s = begun.get(take.query());
            s.kept = take.answer();
            filling.put(take.answer(), s);
            came(s, 0, s.pages[0]);
        } else if (step instanceof Step.Refuse refuse) {
            front.log().line("answer not kept", refuse.why());
            notKept(begun.get(refuse.query()));
        } else if (step instanceof Step.Lost lost) {
            front.log().line("answer not kept", lost.why());
            Submission s = filling.remove(lost.answer());
            notKept(s);
        } else if (step instanceof Step.AskPage ask) {
            Submission s = filling.get(ask.answer());
            if (s != null) {
                s.connection.more(s, ask.page());
            }
        } else if (step instanceof Step.Kept kept) {
            kept(kept);
        } else if (step instanceof Step.Say say) {
            say(say);
        } else if (step instanceof Step.Remark remark) {
            front.log().remark("spool", remark.text());
        } else {
            keeper.accept(step, step instanceof Step.Write ? coming : null);
        }
    }

    private void notKept(Submission s) {
        if (s != null) {
            s.kept = null;
            front.closed(s, Outcome.NOT_KEPT);
        }
    }

    private void kept(Step.Kept kept) {
        Submission s = filling.remove(kept.answer());
        if (s != null) {
            OpenQuery q = s.query;
            s.handle = handles.write(new Handle(kept.answer(), q.tenant, q.repeatable, kept.expiresAt()));
            s.keptForMs = (kept.expiresAt() - front.clock().now()) / 10;
            front.closed(s, Outcome.FINISHED);
        }
    }

    private void say(Step.Say say) {
        Reader reader = readers.remove(say.reader());
        String why = switch (say.reason()) {
            case EXPIRED -> "the answer has expired";
            case GONE -> "the answer is not kept any more";
            case DAMAGED -> "the answer can't be read any more";
            case NO_SUCH_PAGE -> "no such page";
            case BUSY -> "too many pages are being read";
        };
        if (say.reason() == Step.Reason.BUSY) {
            reader.client().readLater(reader.messageId(), say.comeBack() / 10, why);
        } else if (say.reason() != Step.Reason.NO_SUCH_PAGE && reader.handle().repeatable()) {
            reader.client().askAnew(reader.messageId(), why);
        } else {
            reader.client().readError(reader.messageId(), why);
        }
    }

    @Override
    public void word(Word word) {
        try {
            tell(word);
        } catch (RuntimeException | Error e) {
            front.log().fault("spool failed", e);
        }
    }

    @Override
    public void page(long call, ByteBuffer text) {
        Reader reader = readers.remove(call);
        if (reader != null) {
            reader.client().page(reader.messageId(), reader.page(), Unpooled.wrappedBuffer(text));
        }
    }
}
