Feature: Every promise holds under two failures together

  Background:
    Given a service menu divided by key on 7 hosts in 3 data centres
    And 80 requests a second over 200 keys for 20 s

  @process
  Scenario: a host is lost while the store is down
    When at 1 s an operator applies a manifest
    And at 3 s the store goes down
    And at 4 s host menu-2 is killed
    And at 5 s the server on menu-5 leaves
    And at 6 s the daemon on menu-6 shuts down
    And at 11 s the store comes back
    And at 13 s an operator applies a manifest
    Then every promise holds

  Scenario: a cut-off host returns after the store lost answers
    When at 1 s the store loses the answers to writes
    And at 2 s host menu-2 is cut off
    And at 4 s host menu-4 is drained
    And at 5 s the daemon on menu-6 shuts down
    And at 7 s the store answers writes again
    And at 9 s every path is restored
    And at 10 s an operator applies a manifest
    Then every promise holds

  Scenario: a host freezes, its successor is lost, and it returns
    When at 2 s host menu-2 freezes
    And at 6 s host menu-3 is killed
    And at 7 s the daemon on menu-6 shuts down
    And at 8 s two operators apply different manifests
    And at 9 s host menu-2 continues
    And at 10 s host menu-3 starts again
    Then every promise holds

  Scenario: two hosts freeze one after the other and return together
    When at 1 s an operator applies a manifest
    And at 2 s host menu-2 freezes
    And at 3 s nothing arrives from host menu-3
    And at 4 s the daemon on menu-6 shuts down
    And at 8 s every path is restored
    And at 8 s host menu-2 continues
    Then every promise holds
