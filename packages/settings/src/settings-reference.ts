import type { FileSchema, SectionSchema } from './parse-ini.js'
import { readMetadata } from './setting-types.js'
import { settingsGroups, settingsSections } from './settings-schema.js'

/**
 * Renders the reference of all sections and keys as Markdown.
 *
 * @example
 * await writeFile('docs/settings.md', settingsReference())
 */
export function settingsReference (): string {
  const schema: FileSchema = { sections: settingsSections, groups: settingsGroups }
  const parts = [
    '# Settings',
    'One INI file for each daemon. Every key that is not listed here, and every key that occurs twice in a section, is a fault. ' +
      'Units are part of the key. Values with `;` or `#` stand in double quotes.',
    ...Object.entries(schema.sections).map(([name, section]) => renderSection(name, section)),
    ...Object.entries(schema.groups).map(([name, section]) => renderSection(`${name}.<name>`, section))
  ]
  return parts.join('\n\n') + '\n'
}

function renderSection (name: string, section: SectionSchema): string {
  const rows = Object.entries(section.shape).map(([key, schema]) => {
    const { description, expected, defaultText } = readMetadata(schema)
    return `| \`${key}\` | ${description} | ${expected} | ${defaultText ?? 'required'} |`
  })
  return [`## \`[${name}]\``, '', '| key | meaning | value | default |', '|---|---|---|---|', ...rows].join('\n')
}
