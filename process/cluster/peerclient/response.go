package peerclient

import (
	"fmt"
	"net/http"
)

// answerType is the content type of every answer that a daemon gives another.
const responseContentType = "application/protobuf"

// InvalidResponseError says that an answer can't be from a daemon, or can't be told whole.
type InvalidResponseError struct {
	contentType string
	length      int64
}

func (e InvalidResponseError) Error() string {
	return fmt.Sprintf("an answer of type %q and length %d is no daemon's", e.contentType, e.length)
}

// checkedResponses lets successes through only if they are a daemon's and say how long they are. The encoding can't
// tell: an empty body and a body that is cut between two fields are messages too, with fields that say nothing.
type checkedResponses struct{ http.RoundTripper }

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
