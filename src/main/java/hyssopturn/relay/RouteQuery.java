package hyssopturn.relay;

/**
 * A request whose routing is asked for.
 *
 * @param host host of the request
 * @param path path of the request
 * @param account name of the client account, empty for a request without a key
 * @param promptTokens number of tokens of the prompt
 * @param answerTokens greatest number of tokens of the answer
 * @param zone availability zone of the request, empty for the node's
 */
public record RouteQuery(
        String host,
        String path,
        String account,
        long promptTokens,
        long answerTokens,
        String zone) {}
