package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = bigUploads }

const (
	// uploadBytes is below max-body-bytes (67108864) of the configuration.
	uploadBytes = 20_000_000
	// uploadPace is the bandwidth of one client, in bytes per second: 100 Mbit/s.
	uploadPace = 12_500_000
	// usualEvery is the usual time between the starts of two uploads at one machine. A burst divides it by 1.7,
	// which is the factor of the site's burst, for burstLength (limits: 1.7, 5 s).
	usualEvery  = 385 * time.Millisecond
	burstLength = 5 * time.Second
	// restartDelay is the time until the platform starts an ended process again.
	restartDelay = time.Second
)

// pacedReader yields zero bytes at uploadPace.
type pacedReader struct {
	start time.Time
	sent  int
}

func (p *pacedReader) Read(buffer []byte) (int, error) {
	if p.sent >= uploadBytes {
		return 0, io.EOF
	}
	n := min(len(buffer), uploadBytes-p.sent, 64<<10)
	time.Sleep(time.Until(p.start.Add(time.Duration(p.sent) * time.Second / uploadPace)))
	clear(buffer[:n])
	p.sent += n
	return n, nil
}

// residentMB returns the resident memory of a process in MB of 2^20 bytes.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory plays the platform: it kills the process of a machine that exceeds memory-mb and starts it again.
func (w *world) enforceMemory(m *machine, done <-chan struct{}) (peak, kills func() int) {
	var mu sync.Mutex
	most, killed := 0, 0
	go func() {
		for {
			resident := residentMB(m.pid())
			mu.Lock()
			most = max(most, resident)
			mu.Unlock()
			if resident > m.memoryMB {
				mu.Lock()
				killed++
				mu.Unlock()
				w.add("%s uses %d MB, memory-mb is %d: the platform kills it", m.name, resident, m.memoryMB)
				m.signal(syscall.SIGKILL)
				<-m.exited
				time.Sleep(restartDelay)
				if err := m.start(); err != nil {
					w.add("%s does not start again: %v", m.name, err)
				}
			}
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	read := func(value *int) func() int {
		return func() int {
			mu.Lock()
			defer mu.Unlock()
			return *value
		}
	}
	return read(&most), read(&killed)
}

// bigUploads: uploads within max-body-bytes come at once, as many as a burst brings.
func bigUploads(w *world) (string, error) {
	w.put("keyed.op", "config", configuration(3, []route{
		readsRoute, {name: "draft-uploads", prefix: "/drafts/", kind: "upload", service: "desk", target: "600ms", priority: 1, maxAttempts: 2},
	}, plainService("desk")))
	for n := range 6 {
		i := w.addInstance(fmt.Sprintf("i-%d", n), "desk", []string{"coast-a", "coast-b"}[n%2], 150*time.Millisecond)
		if err := i.start(0); err != nil {
			return "", err
		}
	}
	if err := w.startMachines(2); err != nil {
		return "", err
	}
	m := w.machines[0]
	done := make(chan struct{})
	peak, kills := w.enforceMemory(m, done)
	reader := w.newClient(m)
	stopReads := reader.load(60, func(int) request {
		return request{method: "GET", path: "/reads/1", key: -1, deadline: 2 * time.Second}
	})
	uploader := w.newClient(m)
	var uploads sync.WaitGroup
	begin := time.Now()
	burst, end := begin.Add(10*time.Second), begin.Add(20*time.Second)
	for next := begin; next.Before(end); {
		time.Sleep(time.Until(next))
		uploads.Add(1)
		go func() {
			defer uploads.Done()
			uploader.send(request{
				method: "POST", path: "/drafts/1", length: uploadBytes, stream: &pacedReader{start: time.Now()}, key: 7,
				deadline: 2500 * time.Millisecond,
			})
		}()
		every := usualEvery
		if w.trouble && !next.Before(burst) && next.Before(burst.Add(burstLength)) {
			every = usualEvery * 10 / 17
		}
		next = next.Add(every)
	}
	uploads.Wait()
	stopReads()
	close(done)
	ran := map[string]bool{}
	for _, i := range w.instances {
		for _, a := range i.arrived() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	lost, lostUploads := 0, 0
	for _, a := range reader.results() {
		if a.err != nil && ran[a.id] {
			lost++
			w.add("%s had been passed on to an instance and its connection was closed without an answer", a.id)
		}
	}
	for _, a := range uploader.results() {
		if a.err != nil {
			lostUploads++
		}
	}
	w.add("peak memory of %s: %d MB; killed %d times; %d reads lost after they were passed on, %d uploads lost", m.name, peak(), kills(), lost, lostUploads)
	if kills() > 0 && lost > 3 {
		return fmt.Sprintf("LOST: %s was killed %d times for its memory (peak %d MB of %d MB); %d requests that it had passed on to sound instances and %d uploads got no answer", m.name, kills(), peak(), m.memoryMB, lost, lostUploads), nil
	}
	return "", nil
}
