Feature: The body of a request is read as it was sent, or refused

    # Bytes that are not UTF-8 were replaced, and the request ran with other text than the caller had sent.
    Scenario Outline: A body in <encoding> is <result>
        When a request with the body '{"text":"caf\u00e9"}' in <encoding> is read
        Then the request is <result>

        Examples:
            | encoding | result                                                             |
            | utf8     | read                                                               |
            | latin1   | refused: The body is not in UTF-8. Send a JSON object in UTF-8.    |
