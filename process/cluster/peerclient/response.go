package peerclient

import (
	"fmt"
	"net/http"
)

// responseContentType is the content type of every successful response of a daemon to a peer.
const responseContentType = "application/protobuf"

// InvalidResponseError is a successful HTTP response that can't be a daemon's, or of which can't be told whether it is
// complete. Clients' errors wrap it.
type InvalidResponseError struct {
	ContentType string
	// Length is the Content-Length; negative if there was none.
	Length int64
}

// Error implements error.
func (e InvalidResponseError) Error() string {
	return fmt.Sprintf("a response of type %q and length %d is not from a cresspond daemon", e.ContentType, e.Length)
}

// checkedResponses lets successful responses through only if they have a daemon's content type and a length. Protobuf
// itself can't tell: an empty body, and one truncated between two fields, are valid messages with fields unset.
type checkedResponses struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper. Its errors are the transport's or an InvalidResponseError.
func (c checkedResponses) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.RoundTripper.RoundTrip(request)
	if err != nil || response.StatusCode != http.StatusOK {
		return response, err
	}
	contentType := response.Header.Get("Content-Type")
	if contentType == responseContentType && response.ContentLength >= 0 {
		return response, nil
	}
	_ = response.Body.Close()
	return nil, InvalidResponseError{contentType, response.ContentLength}
}
