# Switches stepped drains on: add `--operator deploy/drains.hcl` to the run line. What each key means: docs/drains.md.
drains {
  replacement_failures = 4
  default {
    jobs = 1
  }
}
