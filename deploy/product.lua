-- The operators' script of the whole product: serve --config FILE --script deploy/product.lua
-- What is left out has the default that the README gives.
return {
  -- Jobs that carry a width grow onto machines that fall idle and narrow when others need room.
  elastic = true,
  elastic_settle_s = 10,
  elastic_worth = 4,

  -- What is known of machines is kept for the next leader; no class or team falls below its half for others.
  fleet_notes = true,
  served_floor = true,

  -- Under overload jobs are left behind so that as many others as possible are in time.
  triage = true,

  -- Cron tables and calendars; once_key makes submissions the same work, for a week unless its class says otherwise.
  cron = true,
  once_keep_s = 7 * 24 * 3600,
  -- once_keep = { CLASS = SECONDS },

  -- Jobs are bound to approved key sets at submission, and none runs under one that is revoked or does not match.
  key_sets = true,

  -- Jobs that count for a release go by its factory's deadline.
  releases = true,

  -- Tasks with GPUs are packed, and small ones moved where a large one fits nowhere else.
  packing = true,
  moves = true,

  -- Operators may have machines emptied and replaced, within budgets of disruption for each team.
  drains = true,
}
