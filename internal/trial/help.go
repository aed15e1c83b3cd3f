package trial

import (
	"fmt"
	"io"
	"strings"
)

// Help prints the addresses, the API key and commands to try.
func (t *Trial) Help(w io.Writer) {
	operators := t.operatorURLs()
	fmt.Fprintf(w, "platform    %s\n", t.platformURL)
	for i, g := range t.gateways {
		a := g.Addresses()
		fmt.Fprintf(w, "gateway-%d   callers http://%s  operators http://%s\n", i+1, a.Callers, a.Operators)
	}
	for i, c := range t.controllers {
		fmt.Fprintf(w, "controller-%d operators http://%s\n", i+1, c.Addresses().Operators)
	}
	fmt.Fprintf(w, "API key     %s\n\nPaste into another shell, in the repository:\n\n", t.apiKey)
	fmt.Fprintf(w, helpCommands, t.platformURL, strings.Join(operators, ","), t.apiKey, t.CallersURL())
}

// operatorURLs returns the base URLs of the operators' ports of all daemons.
func (t *Trial) operatorURLs() []string {
	var out []string
	for _, g := range t.gateways {
		out = append(out, "http://"+g.Addresses().Operators.String())
	}
	for _, c := range t.controllers {
		out = append(out, "http://"+c.Addresses().Operators.String())
	}
	return out
}

// helpCommands is a format string for the platform's URL, the URLs of the operators' ports
// separated by commas, the API key and the URL for callers.
const helpCommands = `export RAGWORT_PLATFORM=%s
export RAGWORT_OPERATORS=%s
export API_KEY=%s
export CALLERS=%s

# a streamed completion, then a whole one
curl -sN $CALLERS/v1/chat/completions -H "Authorization: Bearer $API_KEY" -d '{"model":"chat","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"How is the air?"}]}'
curl -si $CALLERS/v1/completions -H "Authorization: Bearer $API_KEY" -d '{"model":"alert","max_tokens":10,"prompt":"Level?"}'

# a plain service
curl -s $CALLERS/maps/7/40/77 -H "Authorization: Bearer $API_KEY"

# move the chat's traffic to version 2 and wait until it is in force everywhere
bin/ragwortctl apply --wait -f - <<'EOF'
{"kind": "Route", "name": "chat", "spec": {"model": "smoke-desk", "weights": [{"version": "smoke-desk-v2", "weight": 1}], "onTime": {"firstTokenMS": 1800, "betweenMS": 100}, "priority": 3, "idempotent": true, "expectedOut": 100}}
EOF

# drain a runner, and see what was done and why
bin/ragwortctl drain runner-1
bin/ragwortctl status
bin/ragwortctl audit
bin/ragwortctl explain request ID   # the X-Request-Id of an answer above

`
