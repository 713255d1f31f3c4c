//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/tarragonpoint/tarragonpoint/internal/standin"
)

// recorder writes the record of a case: one line for each event, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// deployment is the platform's store, instances and the router's processes, all on loopback addresses.
type deployment struct {
	record  *recorder
	trouble bool
	dir     string
	store   *standin.Store
	web     *http.Server
	address string
	zones   []string

	instances []*instance
	gateways  []*gateway
	version   int
}

// gateway is one process of the role.
type gateway struct {
	name, zone     string
	callers, ready string
	settings, logs string
	process        *exec.Cmd
	exited         chan struct{}
}

// region is the region of all zones.
const region = "nh-seacoast"

// bounds are those of the site gls-alerts.
var bounds = map[string]string{
	"bounds.retry-ratio": "0.2", "bounds.retry-window": "10s", "bounds.retry-burst": "62", "bounds.hold-max": "10000ms", "bounds.grace": "6s",
	"bounds.warmup-burst": "5", "bounds.warmup-factor": "1.5",
	"limits.link-mbps": "1000.0", "limits.memory-mb": "284", "limits.max-fds": "4100",
}

func newDeployment(record *recorder, trouble bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: record, trouble: trouble, dir: dir, store: standin.NewStore(standin.StoreOptions{Era: 1}),
		zones: []string{"seacoast-a", "seacoast-b"},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	d.web = &http.Server{Handler: d.store}
	go func() { _ = d.web.Serve(listener) }()
	return d, nil
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	for _, i := range d.instances {
		i.close()
	}
	_ = d.web.Close()
	_ = os.RemoveAll(d.dir)
}

// publish writes a version of the configuration as the operator does. It returns when the store has confirmed it.
func (d *deployment) publish(resources ...string) {
	d.version += 3
	value := fmt.Sprintf(`{"version":"r%d","resources":[%s]}`, d.version, strings.Join(resources, ","))
	d.store.Put(standin.StorePut{Topic: "keyed.op", Records: []standin.Record{{Key: "config", Value: []byte(value)}}})
	d.record.logf("operator: configuration r%d is confirmed", d.version)
}

const limitsResource = `{"entry-kind":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}`

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// section matches a section of the settings template that has no value.
var section = regexp.MustCompile(`\{\{#(bounds\.quota-[a-z]+)\}\}.*\{\{/bounds\.quota-[a-z]+\}\}\n?`)

// render renders deploy/gateway.settings as the platform does.
func (d *deployment) render(values map[string]string) (string, error) {
	raw, err := os.ReadFile(filepath.Join("deploy", "gateway.settings"))
	if err != nil {
		return "", err
	}
	var zones []string
	for _, zone := range d.zones {
		zones = append(zones, zone+"="+region)
	}
	text := section.ReplaceAllString(string(raw), "")
	text = strings.Replace(text, "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", strings.Join(zones, ","), 1)
	for _, table := range []map[string]string{values, bounds} {
		for name, value := range table {
			text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		}
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("settings template has an unknown placeholder:\n%s", text)
	}
	return text, nil
}

// loopback returns an address of this run's own, because the port of the metrics is fixed by the settings template.
func (d *deployment) loopback(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, number)
}

// addGateway starts a process of the role gateway with the command of the deploy file. Each has a loopback IP of its own.
func (d *deployment) addGateway(zone string) error {
	index := len(d.gateways) + 1
	ip := d.loopback(index)
	g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, index), zone: zone}
	var listen [4]string
	for i := range listen {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return err
		}
		listen[i] = listener.Addr().String()
		_ = listener.Close()
	}
	_, peers, _ := net.SplitHostPort(listen[2])
	g.callers, g.ready = listen[0], listen[1]
	text, err := d.render(map[string]string{
		"node-name": g.name, "zone": zone, "region": region, "listen.front": g.callers, "listen.ready-addr": g.ready,
		"ip": ip, "internal-ports.0": peers, "platform.address": d.address,
	})
	if err != nil {
		return err
	}
	g.settings = filepath.Join(d.dir, g.name+".conf")
	g.logs = filepath.Join(d.dir, g.name+".log")
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	return g.start()
}

func (g *gateway) start() error {
	logs, err := os.OpenFile(g.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	g.process = exec.Command(filepath.Join("target", "tarragonpoint"), "gateway")
	g.process.Env = append(os.Environ(), "TARRAGONPOINT_CONFIG="+g.settings)
	g.process.Stdout, g.process.Stderr = logs, logs
	if err := g.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan struct{}), g.process
	g.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (g *gateway) kill() {
	if g.process != nil && g.process.Process != nil {
		_ = g.process.Process.Kill()
		<-g.exited
	}
}

// awaitReady waits until all gateways are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range d.gateways {
			response, err := client.Get("http://" + g.ready + "/readiness")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.gateways) {
			return nil
		}
	}
	return errors.New("the gateways are not ready")
}
