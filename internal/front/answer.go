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

// refusal is the body of an answer that does not come from a target.
type refusal struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Outcome string      `json:"outcome"`
	Meaning string      `json:"meaning"`
	Action  string      `json:"action"`
	// Detail names the wrong header or part of a malformed request.
	Detail string `json:"detail,omitempty"`
}

// refuse returns the front's own refusal of a request. A request ID may have run in an earlier attempt, which only the lessor
// knows; a non-idempotent request that carries one is therefore never called "not run" here (section 7).
func refuse(code result.Code, p parsed, hasID bool) dispatch.Response {
	info := result.Lookup(code)
	outcome := info.Outcome
	if hasID && !p.preview.Idempotent {
		outcome = result.Unknown
	}
	return dispatch.Response{Code: code, Outcome: outcome, Status: info.HTTPStatus}
}

// writeAnswer writes a whole answer with its length.
func (f *Front) writeAnswer(w http.ResponseWriter, r *http.Request, p parsed, answer dispatch.Response, detail string) {
	header, body := answer.Header, answer.Body
	if answer.Code == result.OK && (answer.Status < minFinalStatus || answer.Status > maxStatus) {
		answer = dispatch.Response{Code: result.TargetFailed, Outcome: result.Unknown}
	}
	if answer.Code != result.OK {
		header, body = refusalContent(answer, detail)
	}
	if answer.Status == 0 {
		answer.Status = result.Lookup(answer.Code).HTTPStatus
	}
	out := w.Header()
	for name, values := range endToEnd(header) {
		out[name] = values
	}
	setAnswerHeaders(out, p, answer)
	if f.draining.Load() {
		out.Set("Connection", "close")
	}
	if mayHaveBody(r.Method, answer.Status) {
		out.Set("Content-Length", strconv.Itoa(len(body)))
	} else {
		body = nil
	}
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Now().Add(f.settings.WriteTimeout)); err != nil {
		f.settings.Log.Warn("Cannot limit the time of an answer.")
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(body); err != nil && len(body) > 0 {
		f.settings.Log.Info("A caller did not take the answer.")
	}
}

// mayHaveBody reports whether an answer has a body. The length of the answer to HEAD is not known here.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func refusalContent(answer dispatch.Response, detail string) (http.Header, []byte) {
	info := result.Lookup(answer.Code)
	body, err := json.Marshal(refusal{Code: answer.Code, Name: info.Name, Outcome: answer.Outcome.String(),
		Meaning: info.Meaning, Action: info.Action, Detail: detail})
	if err != nil {
		body = nil // The headers carry code and outcome.
	}
	return http.Header{"Content-Type": {"application/json"}}, body
}

func setAnswerHeaders(out http.Header, p parsed, answer dispatch.Response) {
	out.Set(HeaderCode, strconv.Itoa(int(answer.Code)))
	out.Set(HeaderOutcome, answer.Outcome.String())
	if p.preview.RequestID != nil {
		out.Set(HeaderRequestID, p.preview.RequestID.String())
	}
	if answer.Target != "" {
		out.Set(HeaderTarget, string(answer.Target))
	}
	if answer.Fence != 0 {
		out.Set(HeaderEpoch, strconv.FormatUint(uint64(answer.Fence), 10))
	}
	if len(answer.HomeRegions) > 0 {
		names := make([]string, 0, len(answer.HomeRegions))
		for _, region := range answer.HomeRegions {
			names = append(names, string(region))
		}
		out.Set(HeaderHomeRegions, strings.Join(names, ", "))
	}
}
