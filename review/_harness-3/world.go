package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// bounds are the bounds of the small deployment, as the settings of gls-alerts state them.
const (
	contact   = 3 * time.Second
	heartbeat = 870 * time.Millisecond
)

// world is a deployment and the record of what happened in it.
type world struct {
	// trouble is false if the case is played without its disturbance.
	trouble bool
	dir     string
	program string
	store   *standin.Store
	address string

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	started   time.Time
	events    []event
	instances map[string]*instance
	gateways  []*gateway
	version   int
}

// event is what an instance says of itself, or what a client or this program has done.
type event struct {
	// At is the time in Unix microseconds.
	At       int64  `json:"at"`
	Instance string `json:"instance,omitempty"`
	// Event is one of up, arrive, begin, end, crash, refuse, grant, release.
	Event  string `json:"event"`
	ID     string `json:"id,omitempty"`
	Path   string `json:"path,omitempty"`
	Caller string `json:"caller,omitempty"`
	Text   string `json:"text,omitempty"`
	// Key is the key of a request that begins.
	Key int `json:"key,omitempty"`
	// Keys are those of a grant or release.
	Keys *keyEvent `json:"keys,omitempty"`
}

// keyEvent is a range of keys under a fence, held until a time in Unix microseconds.
type keyEvent struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Fence uint64 `json:"fence"`
	Until int64  `json:"until,omitempty"`
}

func newWorld(recordFile string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/tarragonpoint")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, program: program, file: file, record: bufio.NewWriter(file), started: time.Now(),
		instances: map[string]*instance{}, store: standin.NewStore(standin.StoreOptions{KeepAge: 20 * time.Second, Era: uint64(envInt("ERA", 0))}),
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(w.serveStore)) }()
	w.note("store at %s, trouble %v", w.address, w.trouble)
	return w, nil
}

// close ends all processes and writes the record.
func (w *world) close() {
	w.mu.Lock()
	gateways, instances := w.gateways, w.instances
	w.mu.Unlock()
	for _, g := range gateways {
		g.kill()
	}
	for _, i := range instances {
		i.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// add adds an event to the record.
func (w *world) add(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
	at := time.UnixMicro(e.At).Sub(w.started).Seconds()
	if e.Keys != nil {
		e.Text = fmt.Sprintf("keys %d..%d fence %d until %.3f", e.Keys.From, e.Keys.To, e.Keys.Fence, time.UnixMicro(e.Keys.Until).Sub(w.started).Seconds())
	}
	fmt.Fprintf(w.record, "%9.3f s  %-8s %-8s %s %s %s %s\n", at, e.Instance, e.Event, e.ID, e.Path, e.Caller, e.Text)
}

// all returns the events for which keep returns true.
func (w *world) all(keep func(e event) bool) []event {
	w.mu.Lock()
	defer w.mu.Unlock()
	var kept []event
	for _, e := range w.events {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// publish writes the next version of the configuration, as the operator does. resources are JSON objects.
func (w *world) publish(resources ...string) {
	w.version += 2
	value := fmt.Sprintf(`{"version":"r%d","resources":[%s]}`, w.version, strings.Join(resources, ","))
	w.store.Put(standin.StorePut{Topic: "keyed.op", Records: []standin.Record{{Key: "config", Value: []byte(value)}}})
	w.note("operator writes version r%d", w.version)
}

func route(name, prefix, kind, service string, timeout time.Duration, attempts int) string {
	return fmt.Sprintf(`{"entry-kind":"routes","metadata":{"name":%q},"spec":{"host":"ficu95.example","path-prefix":%q,"kind":%q,`+
		`"timeout":"%dms","target-latency":"%dms","priority":1,"service":%q,"max-attempts":%d,"allowed-regions":[]}}`,
		name, prefix, kind, timeout.Milliseconds(), timeout.Milliseconds()/2, service, attempts)
}

func service(name string, keyed bool) string {
	return fmt.Sprintf(`{"entry-kind":"services","metadata":{"name":%q},"spec":{"health-path":"/health","max-conns":130,"protocol":"h1",`+
		`"tls":false,"warmup":"3s","warmup-per-s":5.3,"sharded":%v}}`, name, keyed)
}

const limits = `{"entry-kind":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,` +
	`"header-timeout":"3000ms","idle-timeout":"15000ms"}}`

// gateway is one VM of the system.
type gateway struct {
	w                          *world
	name, zone, settings, logs string
	callers, ready             string

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
}

// settingsOf renders deploy/gateway.settings for one VM.
func (w *world) settingsOf(name, zone, callers, ready, metrics, peers string, more map[string]string) string {
	values := map[string]string{
		"vm-id": name, "zone": zone, "region": "nh-seacoast", "zones": "seacoast-a=nh-seacoast,seacoast-b=nh-seacoast",
		"listen-callers": callers, "listen-ready": ready, "listen-metrics": metrics, "listen-peers": peers, "store-address": w.address,
		"retry-share": "0.2", "retry-window": "10s", "retry-burst": "62", "hold-max": "10000ms", "grace": "6s", "cold-burst": "5",
		"cold-factor": "1.5", "link-mbps": "1000.0", "memory-mb": "284", "max-fds": "4100",
	}
	for key, value := range more {
		values[key] = value
	}
	var text strings.Builder
	for key, value := range values {
		fmt.Fprintf(&text, "%s %s\n", key, value)
	}
	return text.String()
}

// startGateway starts a VM with the command of the deploy file. more replaces settings.
func (w *world) startGateway(name, zone string, more map[string]string) (*gateway, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	g := &gateway{w: w, name: name, zone: zone, callers: addresses[0], ready: addresses[1], settings: filepath.Join(w.dir, name+".conf"), logs: filepath.Join(w.dir, name+".log")}
	text := w.settingsOf(name, zone, addresses[0], addresses[1], addresses[2], addresses[3], more)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	return g, nil
}

// start starts the process of the VM.
func (g *gateway) start() error {
	output, err := os.OpenFile(g.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(g.w.program, "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "TARRAGONPOINT_CONFIG=" + g.settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.process, g.exited = command.Process, exited
	g.mu.Unlock()
	g.w.note("%s starts (callers at %s)", g.name, g.callers)
	go func() {
		err := command.Wait()
		g.w.note("%s ends: %v", g.name, err)
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.w.note("%s gets signal %v", g.name, s)
	_ = g.process.Signal(s)
}

func (g *gateway) kill() {
	g.mu.Lock()
	process, exited := g.process, g.exited
	g.mu.Unlock()
	_ = process.Kill()
	<-exited
}

// isAlive reports whether the process runs.
func (g *gateway) isAlive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// isReady asks the VM's readiness address.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (w *world) awaitReady(limit time.Duration) error {
	return await(limit, "a VM is not ready", func() bool {
		for _, g := range w.gateways {
			if !g.isReady() {
				return false
			}
		}
		return true
	})
}

func await(limit time.Duration, failure string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New(failure)
}

// freeAddress returns a loopback address whose port no process listens on. Its port is below those that the system gives to
// connections, so none of them takes it before it is used.
func freeAddress() (string, error) {
	for range 100 {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000)))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return listener.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

// instance is a process of a stand-in for an instance.
type instance struct {
	w       *world
	id      string
	args    []string
	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
}

// startInstance starts an instance under an ID at an address.
func (w *world) startInstance(id, address string, args ...string) (*instance, error) {
	i := &instance{w: w, id: id, args: append([]string{"instance", "-id", id, "-listen", address, "-store", "http://" + w.address}, args...)}
	if err := i.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.instances[id] = i
	w.mu.Unlock()
	return i, nil
}

func (i *instance) start(more ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(self, append(append([]string{}, i.args...), more...)...)
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.process, i.exited = command.Process, exited
	i.mu.Unlock()
	go func() {
		i.read(output)
		_ = command.Wait()
		i.w.add(event{At: time.Now().UnixMicro(), Instance: i.id, Event: "gone"})
		close(exited)
	}()
	return nil
}

// read adds what the instance writes to the record.
func (i *instance) read(output io.Reader) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			e.Instance = i.id
			i.w.add(e)
		}
	}
}

func (i *instance) kill() {
	i.mu.Lock()
	process, exited := i.process, i.exited
	i.mu.Unlock()
	_ = process.Kill()
	<-exited
}

func (i *instance) hasExited() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exited
}

// sleep waits, unless ctx ends first.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// envInt returns the number in an environment variable, or value if it is not set.
func envInt(name string, value int) int {
	if text := os.Getenv(name); text != "" {
		if number, err := strconv.Atoi(text); err == nil {
			return number
		}
	}
	return value
}

// serveStore serves the store, which states its era in all its answers, from the first era on.
func (w *world) serveStore(writer http.ResponseWriter, r *http.Request) {
	writer.Header().Set("Store-Era", strconv.FormatUint(w.store.Era(), 10))
	w.store.ServeHTTP(writer, r)
}
