package reedspring.net;

import java.util.Map;
import java.util.regex.Pattern;
import reedspring.api.Id;
import reedspring.boot.Boot;

/**
 * A client's request for a query, with its fields read and checked. Where {@link #fault} is not null it can't
 * be used, and the other components mean nothing.
 *
 * @param traceId the trace as a number: engines know a query by it, however its digits are written
 * @param mark by which engines recognise a repeat, or null
 * @param fault what is wrong with it, or null
 */
record QueryRequest(Id.Group group, Id.Tenant tenant, double patience, double estimate, double needMb,
                    String trace, long traceId, String mark, String fault) {
    private static final Pattern TRACE = Pattern.compile("[0-9a-fA-F]{16}");
    /** Goes on in a list of name=value, which it must not break. */
    private static final Pattern MARK = Pattern.compile("[0-9A-Za-z._:/+-]{1,128}");
    private static final Pattern FIGURE = Pattern.compile("[0-9][0-9.eE+-]{0,31}");
    private static final int HEXADECIMAL = 16;

    /** Reads the fields of a call and checks them against what the deployment and the limits allow. */
    static QueryRequest of(RpcDecoder.Call call, Boot boot, Limits limits) {
        Map<String, String> fields = call.fields();
        String trace = fields.get("trace");
        boolean traced = trace != null && TRACE.matcher(trace).matches();
        QueryRequest read = new QueryRequest(boot.group(call.method()), boot.tenant(fields.get("customer")),
                number(fields, "patience"), number(fields, "weight"), number(fields, "need_mb"),
                trace, traced ? Long.parseUnsignedLong(trace, HEXADECIMAL) : 0, fields.get("nonce"), null);
        String fault = traced ? read.wrong(call, boot, limits) : read.group == null ? "no such method"
                : "trace: 16 hex digits are wanted";
        return fault == null ? read : read.with(fault);
    }

    private QueryRequest with(String wrong) {
        return new QueryRequest(group, tenant, patience, estimate, needMb, trace, traceId, mark, wrong);
    }

    private String wrong(RpcDecoder.Call call, Boot boot, Limits limits) {
        if (group == null) {
            return "no such method";
        }
        if (!(patience <= limits.longestPatience) || !call.fields().containsKey("patience")) {
            return "patience: milliseconds are wanted";
        }
        if (!(estimate <= limits.largestEstimate)) {
            return "weight: milliseconds are wanted";
        }
        if (!(needMb <= limits.largestEstimate)) {
            return "need_mb: megabytes are wanted";
        }
        if (tenant == Id.Tenant.NOBODY && !boot.deployment().tenants().isEmpty()) {
            return "no such customer";
        }
        if (mark != null && !MARK.matcher(mark).matches()) {
            return "nonce: letters, digits and ._:/+- are wanted, 128 at most";
        }
        return call.body() == null ? "the body is missing" : null;
    }

    /** A figure from 0 on in plain digits, 0 where it is absent, NaN where it is none. */
    private static double number(Map<String, String> fields, String name) {
        String value = fields.get(name);
        try {
            return value == null ? 0
                    : FIGURE.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
