package front

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to one connection only and are not forwarded in either direction.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade"}

// endToEndHeader returns a copy of a header without hop-by-hop headers, Tarragon headers and Content-Length, which is
// set from the body when the copy is sent.
func endToEndHeader(header http.Header) http.Header {
	copied := make(http.Header, len(header))
	for name, values := range header {
		if !strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			copied[name] = append([]string(nil), values...)
		}
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	copied.Del("Content-Length")
	return copied
}

// requestHeader returns the header that is sent to the target. Tenant, key and request ID are set from the parsed
// values, so that a caller cannot remove them by listing them in its Connection header.
func requestHeader(r *http.Request, p parsedRequest) http.Header {
	header := endToEndHeader(r.Header)
	header.Del("Expect")
	header.Set(HeaderTenant, string(p.preview.Tenant))
	if p.preview.Key != "" {
		header.Set(HeaderKey, p.preview.Key)
	}
	if p.preview.RequestID != nil {
		header.Set(HeaderRequestID, p.preview.RequestID.String())
	}
	return header
}
