package reedspring.net;

import java.util.Map;
import java.util.regex.Pattern;
import reedspring.api.Id;
import reedspring.boot.DeploymentReader;

/**
 * A client's request to run a query, parsed and validated. If {@link #fault} is not null, the request is
 * invalid and the other components must not be used.
 *
 * @param timeoutMs how long the client waits for the answer
 * @param estimateMs the client's estimate of the query's run time
 * @param needMb the memory that the query needs
 * @param traceId the trace as a number: engines identify a query by it, whatever the case of its digits
 * @param repeatToken the token by which engines recognise a repeat, or null
 * @param fault what is wrong with the request, or null
 */
record QueryRequest(Id.Group group, Id.Tenant tenant, double timeoutMs, double estimateMs, double needMb,
                    String trace, long traceId, String repeatToken, String fault) {
    private static final Pattern TRACE_PATTERN = Pattern.compile("[0-9a-fA-F]{16}");
    /** The token is passed to engines in a list of name=value, so separators are not allowed. */
    private static final Pattern REPEAT_TOKEN_PATTERN = Pattern.compile("[0-9A-Za-z._:/+-]{1,128}");
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("[0-9][0-9.eE+-]{0,31}");
    private static final int HEX_RADIX = 16;

    /** Parses a request's fields and validates them against the deployment and the limits. */
    static QueryRequest of(RpcDecoder.Request request, DeploymentReader deploymentReader, Limits limits) {
        Map<String, String> fields = request.fields();
        String trace = fields.get("trace");
        boolean validTrace = trace != null && TRACE_PATTERN.matcher(trace).matches();
        QueryRequest queryRequest = new QueryRequest(deploymentReader.group(request.method()),
                deploymentReader.tenant(fields.get("customer")), parseNumber(fields, "patience"),
                parseNumber(fields, "weight"), parseNumber(fields, "need_mb"), trace,
                validTrace ? Long.parseUnsignedLong(trace, HEX_RADIX) : 0, fields.get("nonce"), null);
        String fault = validTrace ? queryRequest.findFault(request, deploymentReader, limits)
                : queryRequest.group == null ? "no such method" : "trace: 16 hex digits are wanted";
        return fault == null ? queryRequest : queryRequest.withFault(fault);
    }

    private QueryRequest withFault(String fault) {
        return new QueryRequest(group, tenant, timeoutMs, estimateMs, needMb, trace, traceId, repeatToken,
                fault);
    }

    /** Returns why the request is invalid, or null; for a request with a valid trace. */
    private String findFault(RpcDecoder.Request request, DeploymentReader deploymentReader, Limits limits) {
        if (group == null) {
            return "no such method";
        }
        if (!(timeoutMs <= limits.maxPatienceMs) || !request.fields().containsKey("patience")) {
            return "patience: milliseconds are wanted";
        }
        if (!(estimateMs <= limits.maxEstimate)) {
            return "weight: milliseconds are wanted";
        }
        if (!(needMb <= limits.maxEstimate)) {
            return "need_mb: megabytes are wanted";
        }
        if (tenant == Id.Tenant.UNKNOWN && !deploymentReader.deployment().tenants().isEmpty()) {
            return "no such customer";
        }
        if (repeatToken != null && !REPEAT_TOKEN_PATTERN.matcher(repeatToken).matches()) {
            return "nonce: letters, digits and ._:/+- are wanted, 128 at most";
        }
        return request.body() == null ? "the body is missing" : null;
    }

    /** Parses a non-negative decimal number; 0 if the field is absent, NaN if it is not a number. */
    private static double parseNumber(Map<String, String> fields, String name) {
        String value = fields.get(name);
        try {
            return value == null ? 0
                    : DECIMAL_NUMBER.matcher(value).matches() ? Double.parseDouble(value) : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
