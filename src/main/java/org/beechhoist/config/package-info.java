/**
 * What a node is told at its start: the platform's settings (TOML) and the operators' policy, which a Lua script may change. A bad
 * value is refused with its field, the value and what is allowed. Depends on {@code wire}, and for
 * single types on {@code plan}, {@code cancel} and {@code store}.
 */
package org.beechhoist.config;
