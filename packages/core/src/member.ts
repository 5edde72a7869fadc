/**
 * Compares and formats members and addresses.
 */
import type {Address, Member} from './types.js';

/** Returns whether two members are the same incarnation of the same daemon. */
export function isSameMember(a: Member, b: Member): boolean {
  return a.host === b.host && a.incarnation === b.incarnation;
}

/** Returns a string that uniquely identifies a member. */
export function formatMember(member: Member): string {
  return `${member.host}#${member.incarnation}`;
}

/** Returns `ip:port`, with brackets around an IPv6 address. */
export function formatAddress(address: Address): string {
  const ip = address.ip.includes(':') ? `[${address.ip}]` : address.ip;
  return `${ip}:${address.port}`;
}

/** Returns the base URL of an address. */
export function formatUrl(address: Address): string {
  return `http://${formatAddress(address)}`;
}
