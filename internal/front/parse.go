package front

import (
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/joomcode/errorx"

	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/model"
)

// Headers of the caller API.
const (
	HeaderTenant      = "Tarragon-Tenant"
	HeaderKey         = "Tarragon-Key"
	HeaderRequestID   = "Tarragon-Request-Id"
	HeaderIdempotent  = "Tarragon-Idempotent"
	HeaderDeadline    = "Tarragon-Deadline-Ms"
	HeaderCode        = "Tarragon-Code"
	HeaderOutcome     = "Tarragon-Outcome"
	HeaderTarget      = "Tarragon-Target"
	HeaderEpoch       = "Tarragon-Epoch"
	HeaderHomeRegions = "Tarragon-Home-Regions"

	headerPrefix = "Tarragon-"
)

const (
	maxNameBytes      = 128
	maxKeyBytes       = 1024
	maxDeadlineDigits = 9
	requestIDBytes    = 36
	pathPrefix        = "/v1/"
	// reservedPath is the path at which targets receive the router's commands. A caller must not reach it.
	reservedPath = "/tarragon"
)

// ErrRequest reports a malformed request. Its message names the invalid header or part, never the value.
var ErrRequest = errNamespace.NewType("request")

// parsedRequest holds the parsed path and headers of a request.
type parsedRequest struct {
	preview dispatch.Preview
	// path is the escaped path and query that follow the service name.
	path string
	// timeout is the caller's deadline, relative to the receipt of the request; 0 if the caller set none.
	timeout time.Duration
}

// parseRequest parses the path and the Tarragon headers. With ErrRequest it returns the parts that could be parsed.
func parseRequest(r *http.Request, received time.Time) (parsedRequest, error) {
	p := parsedRequest{preview: dispatch.Preview{Received: received}}
	errs := []error{p.parseIdempotent(r), p.parseRequestID(r.Header), p.parsePath(r.URL), p.parseTenant(r.Header),
		p.parseKey(r.Header), p.parseDeadline(r.Header)}
	for _, err := range errs {
		if err != nil {
			return p, err
		}
	}
	return p, nil
}

// singleValue returns the value of a header. It returns ErrRequest if the header appears more than once or is empty.
func singleValue(header http.Header, name string) (value string, present bool, err error) {
	values := header.Values(name)
	switch {
	case len(values) == 0:
		return "", false, nil
	case len(values) > 1:
		return "", true, ErrRequest.New("%s appears more than once", name)
	case values[0] == "":
		return "", true, ErrRequest.New("%s is empty", name)
	}
	return values[0], true, nil
}

func (p *parsedRequest) parseIdempotent(r *http.Request) error {
	value, present, err := singleValue(r.Header, HeaderIdempotent)
	switch {
	case err != nil:
		return err
	case !present:
		p.preview.Idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead
	case value == "true":
		p.preview.Idempotent = true
	case value != "false":
		return ErrRequest.New("%s is neither true nor false", HeaderIdempotent)
	}
	return nil
}

func (p *parsedRequest) parseRequestID(header http.Header) error {
	value, present, err := singleValue(header, HeaderRequestID)
	if err != nil || !present {
		return err
	}
	if len(value) != requestIDBytes {
		return ErrRequest.New("%s is not a UUID in its usual form", HeaderRequestID)
	}
	id, err := model.ParseRequestID(value)
	if err != nil {
		return ErrRequest.New("%s is not a UUIDv7", HeaderRequestID)
	}
	p.preview.RequestID = &id
	return nil
}

func (p *parsedRequest) parseTenant(header http.Header) error {
	value, present, err := singleValue(header, HeaderTenant)
	if err != nil {
		return err
	}
	if !present || len(value) > maxNameBytes || strings.ContainsFunc(value, isNotVisible) {
		return ErrRequest.New("%s is missing, too long or has invalid characters", HeaderTenant)
	}
	p.preview.Tenant = model.Tenant(value)
	return nil
}

func (p *parsedRequest) parseKey(header http.Header) error {
	value, _, err := singleValue(header, HeaderKey)
	if err != nil {
		return err
	}
	if len(value) > maxKeyBytes || !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl) {
		return ErrRequest.New("%s is too long or has invalid characters", HeaderKey)
	}
	p.preview.Key = value
	return nil
}

func (p *parsedRequest) parseDeadline(header http.Header) error {
	value, present, err := singleValue(header, HeaderDeadline)
	if err != nil || !present {
		return err
	}
	millis, err := strconv.ParseUint(value, 10, 32)
	if err != nil || millis == 0 || len(value) > maxDeadlineDigits {
		return ErrRequest.New("%s is not a positive number of ms", HeaderDeadline)
	}
	p.timeout = time.Duration(millis) * time.Millisecond
	return nil
}

// parsePath separates the service from the rest of the path. Dot segments are rejected, since a target could resolve
// them to a path other than the one checked here.
func (p *parsedRequest) parsePath(address *url.URL) error {
	escaped, found := strings.CutPrefix(address.EscapedPath(), pathPrefix)
	service, rest, slash := strings.Cut(escaped, "/")
	if !found || !slash || service == "" || len(service) > maxNameBytes || strings.ContainsFunc(service, isNotName) {
		return ErrRequest.New("the path does not start with /v1/{service}/")
	}
	decoded, err := url.PathUnescape("/" + rest)
	if err != nil || strings.ContainsFunc(decoded, isNotPath) {
		return ErrRequest.New("the path has invalid characters")
	}
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			return ErrRequest.New("the path has dot segments")
		}
	}
	first := strings.ToLower(path.Clean(decoded))
	if first == reservedPath || strings.HasPrefix(first, reservedPath+"/") {
		return ErrRequest.New("the path is reserved")
	}
	p.preview.Service = model.Service(service)
	p.path = "/" + rest
	if address.RawQuery != "" {
		p.path += "?" + address.RawQuery
	}
	return nil
}

func isNotVisible(r rune) bool { return r <= ' ' || r > '~' }

func isNotName(r rune) bool {
	isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	isDigit := r >= '0' && r <= '9'
	return !isLetter && !isDigit && r != '-' && r != '_' && r != '.'
}

func isNotPath(r rune) bool { return unicode.IsControl(r) || r == '\\' || r == utf8.RuneError }

// errorDetail returns the message of an ErrRequest without the name of the error's type.
func errorDetail(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return ""
}
