/**
 * Escapes text for HTML pages.
 */

/** Escapes the characters that are special in HTML. */
export function encodeHtml(text: string): string {
  return text
    .replace(/&/g, '&amp;')
    .replace(/</g, '&lt;')
    .replace(/>/g, '&gt;')
    .replace(/"/g, '&quot;');
}
