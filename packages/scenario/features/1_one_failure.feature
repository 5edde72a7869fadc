Feature: Every promise holds under one failure

  While the failure lasts, operators go on as on any day: a manifest is applied, a host is drained,
  a server leaves and a daemon shuts down.

  Background:
    Given a service menu divided by key on 7 hosts in 3 data centres
    And 80 requests a second over 200 keys for 16 s

  @process
  Scenario: a host is lost
    When at 1 s an operator applies a manifest
    And at 2 s host menu-2 is killed
    And at 2.2 s host menu-4 is drained
    And at 2.4 s the server on menu-5 leaves
    And at 3 s the daemon on menu-6 shuts down
    And at 5 s an operator applies a manifest
    And at 9 s host menu-2 starts again
    Then every promise holds

  @process
  Scenario: a host is cut off
    When at 1 s an operator applies a manifest
    And at 2 s host menu-2 is cut off
    And at 2.2 s host menu-4 is drained
    And at 2.4 s the server on menu-5 leaves
    And at 3 s the daemon on menu-6 shuts down
    And at 5 s an operator applies a manifest
    And at 9 s every path is restored
    Then every promise holds

  Scenario: a host is cut off from the store only
    When at 1 s an operator applies a manifest
    And at 2 s host menu-2 is cut off from the store
    And at 2.2 s host menu-4 is drained
    And at 3 s the daemon on menu-6 shuts down
    And at 5 s an operator applies a manifest
    And at 9 s every path is restored
    Then every promise holds

  @process
  Scenario: a host is heard and hears nothing
    When at 1 s an operator applies a manifest
    And at 2 s host menu-2 receives nothing
    And at 2.2 s host menu-4 is drained
    And at 2.4 s the server on menu-5 leaves
    And at 3 s the daemon on menu-6 shuts down
    And at 5 s an operator applies a manifest
    And at 9 s every path is restored
    Then every promise holds

  Scenario: a host hears and is not heard
    When at 1 s an operator applies a manifest
    And at 2 s nothing arrives from host menu-2
    And at 2.2 s host menu-4 is drained
    And at 2.4 s the server on menu-5 leaves
    And at 3 s the daemon on menu-6 shuts down
    And at 5 s an operator applies a manifest
    And at 9 s every path is restored
    Then every promise holds

  @process
  Scenario: a host freezes and returns
    When at 1 s an operator applies a manifest
    And at 2 s host menu-2 freezes
    And at 2.2 s host menu-4 is drained
    And at 2.4 s the server on menu-5 leaves
    And at 3 s the daemon on menu-6 shuts down
    And at 5 s an operator applies a manifest
    And at 9 s host menu-2 continues
    Then every promise holds

  Scenario: a daemon freezes beside a running server
    When at 1 s an operator applies a manifest
    And at 2 s the daemon on menu-2 freezes
    And at 2.2 s host menu-4 is drained
    And at 3 s the daemon on menu-6 shuts down
    And at 8 s host menu-2 continues
    Then every promise holds

  @process
  Scenario: the store is down
    When at 1 s an operator applies a manifest
    And at 3 s the store goes down
    And at 4 s the server on menu-5 leaves
    And at 5 s the daemon on menu-6 shuts down
    And at 6 s an operator applies a manifest
    And at 11 s the store comes back
    Then every promise holds

  Scenario: the store loses the answers to writes
    When at 1 s the store loses the answers to writes
    And at 2 s host menu-4 is drained
    And at 2.4 s the server on menu-5 leaves
    And at 3 s the daemon on menu-6 shuts down
    And at 4 s an operator applies a manifest
    And at 9 s the store answers writes again
    Then every promise holds

  Scenario: writes take effect long after they were given up
    When at 1 s the store takes 3500 ms to write
    And at 2 s host menu-4 is drained
    And at 2.4 s the server on menu-5 leaves
    And at 3 s the daemon on menu-6 shuts down
    And at 9 s the store takes 0 ms to write
    And at 11 s an operator applies a manifest
    Then every promise holds

  @process
  Scenario: two operators apply at once
    When at 1 s two operators apply different manifests
    And at 2.2 s host menu-4 is drained
    And at 2.4 s the server on menu-5 leaves
    And at 3 s the daemon on menu-6 shuts down
    And at 5 s two operators apply different manifests
    Then every promise holds

  Scenario: one key is asked for by every second request
    When at 1 s one in 2 requests is for one key
    And at 2 s host menu-2 is killed
    And at 3 s an operator applies a manifest
    Then every key has one owner at a time
    And no non-idempotent request runs twice
    And no request that is told not-run was run
