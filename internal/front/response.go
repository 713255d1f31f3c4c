package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/dispatch"
	"github.com/tarragonpoint/tarragonpoint/internal/result"
)

const (
	minFinalStatus = 200
	maxStatus      = 599
)

// errorBody is the JSON body of a response that the router itself produced, not a target.
type errorBody struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Outcome string      `json:"outcome"`
	Meaning string      `json:"meaning"`
	Action  string      `json:"action"`
	// Detail names the invalid header or part of a malformed request.
	Detail string `json:"detail,omitempty"`
}

// errorResponse returns the response to a request that the front itself rejects. A request ID may have run in an
// earlier attempt, which only the lessor knows; a non-idempotent request that carries one is therefore never reported
// as "not run" here.
func errorResponse(code result.Code, p parsedRequest, hasID bool) dispatch.Response {
	info := result.Lookup(code)
	outcome := info.Outcome
	if hasID && !p.preview.Idempotent {
		outcome = result.Unknown
	}
	return dispatch.Response{Code: code, Outcome: outcome, Status: info.HTTPStatus}
}

// writeResponse writes a complete response with its Content-Length.
func (f *Front) writeResponse(w http.ResponseWriter, r *http.Request, p parsedRequest, response dispatch.Response,
	detail string) {
	header, body := response.Header, response.Body
	if response.Code == result.OK && (response.Status < minFinalStatus || response.Status > maxStatus) {
		response = dispatch.Response{Code: result.TargetFailed, Outcome: result.Unknown}
	}
	if response.Code != result.OK {
		header, body = errorContent(response, detail)
	}
	if response.Status == 0 {
		response.Status = result.Lookup(response.Code).HTTPStatus
	}
	out := w.Header()
	for name, values := range endToEndHeader(header) {
		out[name] = values
	}
	setResponseHeaders(out, p, response)
	if f.draining.Load() {
		out.Set("Connection", "close")
	}
	if mayHaveBody(r.Method, response.Status) {
		out.Set("Content-Length", strconv.Itoa(len(body)))
	} else {
		body = nil
	}
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(f.settings.WriteTimeout)); err != nil {
		f.settings.Log.Warn("The write deadline of a response cannot be set.")
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(body); err != nil && len(body) > 0 {
		f.settings.Log.Info("A response could not be written to the caller.")
	}
}

// mayHaveBody reports whether a response may have a body. The body length of a response to HEAD is not known here, so
// no Content-Length is set for it.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func errorContent(response dispatch.Response, detail string) (http.Header, []byte) {
	info := result.Lookup(response.Code)
	body, err := json.Marshal(errorBody{Code: response.Code, Name: info.Name, Outcome: response.Outcome.String(),
		Meaning: info.Meaning, Action: info.Action, Detail: detail})
	if err != nil {
		body = nil // The headers still carry the code and the outcome.
	}
	return http.Header{"Content-Type": {"application/json"}}, body
}

func setResponseHeaders(out http.Header, p parsedRequest, response dispatch.Response) {
	out.Set(HeaderCode, strconv.Itoa(int(response.Code)))
	out.Set(HeaderOutcome, response.Outcome.String())
	if p.preview.RequestID != nil {
		out.Set(HeaderRequestID, p.preview.RequestID.String())
	}
	if response.Target != "" {
		out.Set(HeaderTarget, string(response.Target))
	}
	if response.Fence != 0 {
		out.Set(HeaderEpoch, strconv.FormatUint(uint64(response.Fence), 10))
	}
	if len(response.HomeRegions) > 0 {
		names := make([]string, 0, len(response.HomeRegions))
		for _, region := range response.HomeRegions {
			names = append(names, string(region))
		}
		out.Set(HeaderHomeRegions, strings.Join(names, ", "))
	}
}
