# The same commands as in README.md, by short names.
MVN = mvn -B -ntp
RUN = $(shell sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)

.PHONY: build test lint run clean

build:
	$(MVN) -q -DskipTests package

test:
	$(MVN) verify

lint:
	$(MVN) -q compile checkstyle:check

# One front, as RELAY_CONFIG names its configuration.
run: build
	$(RUN)

clean:
	$(MVN) -q clean
